/// Log lines on elections and on the load of a control process.
#ifndef APRICOTLB_APP_LOAD_LOG_HPP
#define APRICOTLB_APP_LOAD_LOG_HPP

#include "adapters/log.hpp"
#include "adapters/loop_meter.hpp"
#include "adapters/metrics.hpp"
#include "app/peer_transport.hpp"
#include "app/replica.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/time.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Logs the new role of this process in its group.
auto log_role(role_change const& it) -> void;

/// Logs that the disk is full, and that it can be written again.
auto log_disk(disk_event it, std::string const& cause) -> void;

/// Logs the load of the loop and of the replica over one interval.
auto log_load(loop_usage const& loop, replica_load const& replica) -> void;

/// Logs the counters that have risen, as name/label pairs.
auto log_increments(std::vector<counter_increment> const& all) -> void;

/// Writes the lines `load` and `counts` every config::load_report_interval.
template <clock_port Clock, class Metrics>
class load_log
{
public:
    load_log(Clock& clock, Metrics& metrics,
             std::function<replica_load()> take_load)
        : clock_(clock), metrics_(metrics), take_load_(std::move(take_load)),
          meter_(clock)
    {
        arm();
    }
    load_log(load_log const&) = delete;
    auto operator=(load_log const&) -> load_log& = delete;
    ~load_log() { clock_.cancel_timer(timer_); }

private:
    auto arm() -> void
    {
        timer_ =
            clock_.start_timer(config::load_report_interval,
                               [this]
                               {
                                   arm();
                                   log_load(meter_.take(), take_load_());
                                   log_increments(metrics_.take_increments());
                               });
    }

    Clock& clock_;
    Metrics& metrics_;
    std::function<replica_load()> take_load_;
    loop_meter meter_;
    timer_id timer_;
};

/// Logs the peers that have not acknowledged what was sent to them.
auto log_lags(std::vector<peer_lag> const& all) -> void;

/// Logs a life of a peer whose messages are dropped.
auto log_refused_life(refused_life const& it) -> void;

/// Writes the line `unacknowledged` every config::load_report_interval while a
/// peer is late.
template <clock_port Clock, class Transport>
class lag_log
{
public:
    lag_log(Clock& clock, Transport const& transport)
        : clock_(clock), transport_(transport)
    {
        arm();
    }
    lag_log(lag_log const&) = delete;
    auto operator=(lag_log const&) -> lag_log& = delete;
    ~lag_log() { clock_.cancel_timer(timer_); }

private:
    auto arm() -> void
    {
        timer_ = clock_.start_timer(
            config::load_report_interval,
            [this]
            {
                arm();
                log_lags(transport_.lags(config::peer_timeout));
            });
    }

    Clock& clock_;
    Transport const& transport_;
    timer_id timer_;
};

/// Writes the line `counts` every config::load_report_interval.
template <clock_port Clock, class Metrics>
class counts_log
{
public:
    counts_log(Clock& clock, Metrics& metrics)
        : clock_(clock), metrics_(metrics)
    {
        arm();
    }
    counts_log(counts_log const&) = delete;
    auto operator=(counts_log const&) -> counts_log& = delete;
    ~counts_log() { clock_.cancel_timer(timer_); }

private:
    auto arm() -> void
    {
        timer_ =
            clock_.start_timer(config::load_report_interval,
                               [this]
                               {
                                   arm();
                                   log_increments(metrics_.take_increments());
                               });
    }

    Clock& clock_;
    Metrics& metrics_;
    timer_id timer_;
};

} // namespace apricotlb

#endif
