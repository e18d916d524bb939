/// Average service times by service and path prefix.
#ifndef APRICOTLB_CORE_ENTRY_SERVICE_TIMES_HPP
#define APRICOTLB_CORE_ENTRY_SERVICE_TIMES_HPP

#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <map>
#include <string>

namespace apricotlb
{

/// Class of requests that are assumed to have similar service times.
struct work_class
{
    customer_id customer;
    service_name service;
    std::string prefix;

    auto operator<=>(work_class const&) const = default;
};

/// Exponential moving average of the service time per class, in a table of
/// bounded size.
class service_times
{
public:
    /// The average of the class, else that of its service, else zero.
    [[nodiscard]] auto expected(work_class const& it) const -> duration;
    auto add_sample(work_class const& it, duration elapsed) -> void;

private:
    auto add_to_class(work_class const& it, duration elapsed) -> void;

    std::map<work_class, duration> times_;
};

} // namespace apricotlb

#endif
