#include "adapters/glib_clock.hpp"

#include <glib.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <memory>
#include <utility>

namespace apricotlb
{

glib_clock::~glib_clock()
{
    for (auto const& [id, source] : sources_)
    {
        g_source_remove(source);
    }
}

auto glib_clock::now() const -> time_point
{
    return boot_time();
}

auto boot_time() -> time_point
{
    timespec it{};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return time_point{
        seconds{it.tv_sec} +
        std::chrono::floor<duration>(std::chrono::nanoseconds{it.tv_nsec})};
}

auto glib_clock::wall_now() const -> wall_time
{
    return std::chrono::floor<seconds>(exact_wall_now());
}

auto glib_clock::exact_wall_now() const -> exact_wall_time
{
    return std::chrono::floor<microseconds>(std::chrono::system_clock::now()) +
           offset_.value();
}

auto glib_clock::start_timer(duration after, std::function<void()> run)
    -> timer_id
{
    auto const id = timer_id{++last_timer_};
    auto it = std::make_unique<pending>(this, id, std::move(run));
    // Rounded up: a timer must not fire before its time.
    auto const ms = std::max<std::int64_t>(
        0, std::chrono::ceil<milliseconds>(after).count());
    auto const fire = [](gpointer data) -> gboolean
    {
        auto& timer = *static_cast<pending*>(data);
        timer.owner->sources_.erase(timer.id);
        timer.run();
        return G_SOURCE_REMOVE;
    };
    auto const destroy = [](gpointer data)
    { std::default_delete<pending>{}(static_cast<pending*>(data)); };
    sources_[id] =
        g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(ms), fire,
                           it.release(), destroy);
    return id;
}

auto glib_clock::cancel_timer(timer_id timer) -> void
{
    auto const it = sources_.find(timer);
    if (it != sources_.end())
    {
        auto const source = it->second;
        sources_.erase(it);
        g_source_remove(source);
    }
}

} // namespace apricotlb
