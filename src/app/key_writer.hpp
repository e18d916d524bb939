/// Submits key commands until they are committed or it is too late.
#ifndef APRICOTLB_APP_KEY_WRITER_HPP
#define APRICOTLB_APP_KEY_WRITER_HPP

#include "core/state/commands.hpp"
#include "ports/clock.hpp"
#include "ports/key_log.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <functional>
#include <utility>

namespace apricotlb
{

/// Resends while there is no leader. The commands carry session and request,
/// so that a resend has no second effect.
template <clock_port Clock, key_log_port KeyLog>
class key_writer
{
public:
    using callback = std::function<void(result<apply_result>)>;

    key_writer(Clock& clock, KeyLog& log) : clock_(clock), log_(log) {}

    auto submit(command const& it, time_point until, callback done) -> void
    {
        auto take = [this, it, until,
                     done = std::move(done)](result<apply_result> answer)
        {
            auto const now = clock_.now();
            if (answer.has_error() && is_passing(answer.error().kind) &&
                now + config::key_resend_interval < until)
            {
                clock_.start_timer(config::key_resend_interval,
                                   [this, it, until, done]
                                   { submit(it, until, done); });
                return;
            }
            done(std::move(answer));
        };
        log_.submit(it, std::move(take));
    }

private:
    static auto is_passing(error_kind kind) -> bool
    {
        return kind == error_kind::no_leader || kind == error_kind::not_leader;
    }

    Clock& clock_;
    KeyLog& log_;
};

} // namespace apricotlb

#endif
