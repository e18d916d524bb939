/// Submits commands on idempotency keys until they are committed or their
/// deadline is near.
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

/// Resends a command while there is no leader. Each command carries the session
/// and the request, so that a repeated command is applied only once.
template <clock_port Clock, key_log_port KeyLog>
class key_writer
{
public:
    using callback = std::function<void(result<apply_result>)>;

    key_writer(Clock& clock, KeyLog& log) : clock_(clock), log_(log) {}

    /// Submits a command; done runs once, with the result of applying it or the
    /// last error before the deadline.
    auto submit(command const& it, time_point deadline, callback done) -> void
    {
        auto on_answer = [this, it, deadline,
                          done = std::move(done)](result<apply_result> answer)
        {
            auto const now = clock_.now();
            if (answer.has_error() && is_temporary(answer.error().kind) &&
                now + config::key_resend_interval < deadline)
            {
                clock_.start_timer(config::key_resend_interval,
                                   [this, it, deadline, done]
                                   { submit(it, deadline, done); });
                return;
            }
            done(std::move(answer));
        };
        log_.submit(it, std::move(on_answer));
    }

private:
    static auto is_temporary(error_kind kind) -> bool
    {
        return kind == error_kind::no_leader || kind == error_kind::not_leader;
    }

    Clock& clock_;
    KeyLog& log_;
};

} // namespace apricotlb

#endif
