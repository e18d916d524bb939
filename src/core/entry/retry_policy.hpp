/// Decides which failed requests are retried.
#ifndef APRICOTLB_CORE_ENTRY_RETRY_POLICY_HPP
#define APRICOTLB_CORE_ENTRY_RETRY_POLICY_HPP

#include <apricotlb/error.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace apricotlb
{

/// Reason for a retry.
enum class retry_reason : std::uint8_t
{
    refused,   ///< the backend server did not run the request
    failed,    ///< the connection broke; the request is idempotent
    timed_out, ///< no answer in time; the request is idempotent
    cut,       ///< the answer ended early, before any of it was forwarded
};

/// All reasons, so that each counter is exported from the start with 0.
inline constexpr std::array retry_reasons{
    retry_reason::refused, retry_reason::failed, retry_reason::timed_out,
    retry_reason::cut};

[[nodiscard]] auto name_of(retry_reason reason) -> std::string_view;

/// A failed attempt, as far as the decision about a retry depends on it.
struct failed_attempt
{
    error_kind kind{error_kind::internal};
    bool idempotent{false};     ///< by its method, and sent without a key
    bool forwarded{false};      ///< part of the answer was forwarded
    bool replayable{true};      ///< the whole body is still buffered
    bool body_forwarded{false}; ///< body bytes went to a backend server
    int attempts{1};            ///< including this one
    time_point deadline;
};

/// Reason to retry a request if a retry is safe and can end in time. The retry
/// budget is checked separately.
[[nodiscard]] auto retry_reason_of(failed_attempt const& it, time_point now)
    -> std::optional<retry_reason>;

/// Limits the retries of each customer to a share of its requests. The credit
/// also refills with time, up to a small floor.
class retry_budget
{
public:
    /// Adds the credit that one request contributes.
    auto add_credit(customer_id const& customer, time_point now) -> void;
    /// Takes the credit of one retry; false if there is too little.
    [[nodiscard]] auto spend(customer_id const& customer, time_point now)
        -> bool;

private:
    struct bucket
    {
        std::int64_t thousandths{0}; ///< of a retry
        time_point refilled{};
    };

    auto bucket_of(customer_id const& customer, time_point now) -> bucket&;

    std::map<customer_id, bucket> buckets_;
};

} // namespace apricotlb

#endif
