/// Decides which failed requests are sent again.
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

/// Why a request is sent again.
enum class retry_reason : std::uint8_t
{
    refused,   ///< it did not run
    failed,    ///< the connection broke; the request is idempotent
    timed_out, ///< no answer in time; the request is idempotent
    cut,       ///< the answer broke off before anything of it was forwarded
};

/// All reasons, so that counters can start at 0.
inline constexpr std::array retry_reasons{
    retry_reason::refused, retry_reason::failed, retry_reason::timed_out,
    retry_reason::cut};

[[nodiscard]] auto name_of(retry_reason reason) -> std::string_view;

/// What is known of a failed attempt.
struct failed_attempt
{
    error_kind kind{error_kind::internal};
    bool idempotent{false};     ///< and without a key
    bool forwarded{false};      ///< part of the answer reached the caller
    bool replayable{true};      ///< the whole request body is still held
    bool body_forwarded{false}; ///< bytes of the body were handed on
    int attempts{1};            ///< so far
    time_point deadline;
};

/// The reason to send a request again, if it is safe and useful. The budget
/// is a separate question.
[[nodiscard]] auto retry_reason_of(failed_attempt const& it, time_point now)
    -> std::optional<retry_reason>;

/// Retries per customer: a tenth of the requests, and a small floor that
/// refills with time.
class retry_budget
{
public:
    /// Adds a request's part of a retry.
    auto add_credit(customer_id const& customer, time_point now) -> void;
    /// Takes one retry; false when none is left.
    [[nodiscard]] auto spend(customer_id const& customer, time_point now)
        -> bool;

private:
    struct bucket
    {
        std::int64_t thousandths{0};
        time_point refilled{};
    };

    auto bucket_of(customer_id const& customer, time_point now) -> bucket&;

    std::map<customer_id, bucket> buckets_;
};

} // namespace apricotlb

#endif
