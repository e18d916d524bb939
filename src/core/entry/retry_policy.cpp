#include "core/entry/retry_policy.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr std::int64_t whole = 1000;

} // namespace

auto name_of(retry_reason reason) -> std::string_view
{
    switch (reason)
    {
    case retry_reason::refused:
        return "refused";
    case retry_reason::failed:
        return "failed";
    case retry_reason::timed_out:
        return "timed_out";
    case retry_reason::cut:
        break;
    }
    return "cut";
}

auto retry_reason_of(failed_attempt const& it, time_point now)
    -> std::optional<retry_reason>
{
    if (it.forwarded || it.attempts >= config::max_attempts ||
        now >= it.deadline || (it.body_taken && !it.replayable))
    {
        return std::nullopt;
    }
    if (it.kind == error_kind::backend_refused)
    {
        return retry_reason::refused;
    }
    if (!it.idempotent)
    {
        return std::nullopt;
    }
    switch (it.kind)
    {
    case error_kind::backend_failed:
        return retry_reason::failed;
    case error_kind::backend_timeout:
        return retry_reason::timed_out;
    case error_kind::backend_cut_answer:
        return retry_reason::cut;
    default:
        return std::nullopt;
    }
}

auto retry_budget::bucket_of(customer_id const& customer, time_point now)
    -> bucket&
{
    auto const [it, fresh] = buckets_.try_emplace(
        customer, bucket{config::min_retry_credit * whole, now});
    auto& out = it->second;
    constexpr auto floor = config::min_retry_credit * whole;
    // The floor refills within 10 s, so that a customer with few requests can
    // still retry.
    constexpr duration refill = seconds{10};
    auto const gained = (now - out.refilled) * floor / refill;
    if (fresh || out.thousandths >= floor)
    {
        out.refilled = now;
    }
    else if (gained > 0)
    {
        out.refilled = now;
        out.thousandths =
            std::min<std::int64_t>(floor, out.thousandths + gained);
    }
    return out;
}

auto retry_budget::earn(customer_id const& customer, time_point now) -> void
{
    auto& it = bucket_of(customer, now);
    it.thousandths =
        std::min<std::int64_t>(it.thousandths + config::retry_ratio.value(),
                               config::max_retry_credit * whole);
}

auto retry_budget::spend(customer_id const& customer, time_point now) -> bool
{
    auto& it = bucket_of(customer, now);
    if (it.thousandths < whole)
    {
        return false;
    }
    it.thousandths -= whole;
    return true;
}

} // namespace apricotlb
