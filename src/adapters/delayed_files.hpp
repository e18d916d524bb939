/// File system port whose syncs of appended bytes end later, as those of a
/// slow disk do.
#ifndef APRICOTLB_ADAPTERS_DELAYED_FILES_HPP
#define APRICOTLB_ADAPTERS_DELAYED_FILES_HPP

#include "core/random.hpp"
#include "ports/clock.hpp"
#include "ports/file_system.hpp"

#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace apricotlb
{

/// Each append ends later by a time between 0 and twice the given mean. The
/// loop goes on meanwhile.
template <clock_port Clock, file_system_port Files>
class delayed_files : public Files
{
public:
    delayed_files(Clock& clock, duration mean, random_bits seed)
        : clock_(clock), mean_(mean), random_(seed.value())
    {
    }
    delayed_files(delayed_files const&) = delete;
    auto operator=(delayed_files const&) -> delayed_files& = delete;
    ~delayed_files()
    {
        for (auto const& [handle, timer] : timers_)
        {
            clock_.cancel_timer(timer);
        }
    }

    auto start_append(file_handle handle, std::string bytes,
                      std::function<void(result<void>)> done) -> void
    {
        if (mean_ <= duration{0})
        {
            Files::start_append(handle, std::move(bytes), std::move(done));
            return;
        }
        Files::start_append(
            handle, std::move(bytes),
            [this, handle, done = std::move(done)](result<void> ended) mutable
            { delay(handle, std::move(ended), std::move(done)); });
    }

    auto close(file_handle handle) -> void
    {
        if (auto const it = timers_.extract(handle))
        {
            clock_.cancel_timer(it.mapped());
        }
        Files::close(handle);
    }

private:
    auto delay(file_handle handle, result<void> ended,
               std::function<void(result<void>)> done) -> void
    {
        auto const range = static_cast<std::uint64_t>(2 * mean_.count() + 1);
        auto const time =
            duration{static_cast<std::int64_t>(next_random(random_) % range)};
        timers_[handle] = clock_.start_timer(
            time,
            [this, handle, ended = std::move(ended), done = std::move(done)]
            {
                timers_.erase(handle);
                done(ended);
            });
    }

    Clock& clock_;
    duration mean_;
    std::uint64_t random_;
    std::map<file_handle, timer_id> timers_;
};

} // namespace apricotlb

#endif
