#include "core/entry/retry_policy.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr std::int64_t thousandths_per_retry = 1000;

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
        now >= it.deadline || (it.body_forwarded && !it.replayable))
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
    auto const [it, is_new] = buckets_.try_emplace(
        customer,
        bucket{config::min_retry_credit * thousandths_per_retry, now});
    auto& credit = it->second;
    constexpr auto floor = config::min_retry_credit * thousandths_per_retry;
    // The floor refills within 10 s, so that a customer with few requests can
    // still retry.
    constexpr duration refill_time = seconds{10};
    auto const gained = (now - credit.refilled) * floor / refill_time;
    if (is_new || credit.thousandths >= floor)
    {
        credit.refilled = now;
    }
    else if (gained > 0)
    {
        credit.refilled = now;
        credit.thousandths =
            std::min<std::int64_t>(floor, credit.thousandths + gained);
    }
    return credit;
}

auto retry_budget::add_credit(customer_id const& customer, time_point now)
    -> void
{
    auto& credit = bucket_of(customer, now);
    credit.thousandths = std::min<std::int64_t>(
        credit.thousandths + config::retry_ratio.value(),
        config::max_retry_credit * thousandths_per_retry);
}

auto retry_budget::spend(customer_id const& customer, time_point now) -> bool
{
    auto& credit = bucket_of(customer, now);
    if (credit.thousandths < thousandths_per_retry)
    {
        return false;
    }
    credit.thousandths -= thousandths_per_retry;
    return true;
}

} // namespace apricotlb
