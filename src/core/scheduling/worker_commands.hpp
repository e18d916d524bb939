/// Commands that the leader sends to a worker's own address. Each names one
/// attempt and may be repeated; a worker ignores a command that it has already
/// executed.
#ifndef APRICOTLB_CORE_SCHEDULING_WORKER_COMMANDS_HPP
#define APRICOTLB_CORE_SCHEDULING_WORKER_COMMANDS_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/job.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <optional>
#include <string>
#include <variant>

namespace apricotlb
{

/// Starts an attempt. The lease counts from the time at which the worker sent
/// the named report, so a start that arrives late grants only the rest of the
/// lease. The worker refuses a start whose lease has expired.
struct start_attempt
{
    customer_id customer;
    attempt_id attempt;
    job_class kind{job_class::batch};
    work_kind work;
    resources committed;
    std::string payload;
    std::optional<checkpoint_id> checkpoint; ///< to resume from
    sequence report;      ///< latest report that the leader received
    milliseconds lease{}; ///< from the time that report was sent

    static constexpr auto fields()
    {
        return field_list(field("customer", &start_attempt::customer),
                          field("attempt", &start_attempt::attempt),
                          field("class", &start_attempt::kind),
                          field("work", &start_attempt::work),
                          field("committed", &start_attempt::committed),
                          field("payload", &start_attempt::payload),
                          field("checkpoint", &start_attempt::checkpoint),
                          field("report", &start_attempt::report),
                          field("lease", &start_attempt::lease));
    }
};

/// Saves the state of an attempt and ends it; the worker then reports the
/// end as checkpointed.
struct checkpoint_attempt
{
    customer_id customer;
    attempt_id attempt;

    static constexpr auto fields()
    {
        return field_list(field("customer", &checkpoint_attempt::customer),
                          field("attempt", &checkpoint_attempt::attempt));
    }
};

/// Limits an attempt to a fraction of its processors.
struct throttle_attempt
{
    customer_id customer;
    attempt_id attempt;
    permille to; ///< 1000 lifts the limit

    static constexpr auto fields()
    {
        return field_list(field("customer", &throttle_attempt::customer),
                          field("attempt", &throttle_attempt::attempt),
                          field("to", &throttle_attempt::to));
    }
};

/// Ends an attempt without a checkpoint.
struct stop_attempt
{
    customer_id customer;
    attempt_id attempt;

    static constexpr auto fields()
    {
        return field_list(field("customer", &stop_attempt::customer),
                          field("attempt", &stop_attempt::attempt));
    }
};

using worker_command = std::variant<start_attempt, checkpoint_attempt,
                                    throttle_attempt, stop_attempt>;

} // namespace apricotlb

#endif
