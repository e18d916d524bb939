#include "adapters/soup_client.hpp"

#include <apricotlb/config.hpp>

#include <glib.h>

#include <algorithm>
#include <utility>

namespace apricotlb
{

namespace
{

auto now() -> time_point
{
    return time_point{duration{g_get_monotonic_time()}};
}

} // namespace

soup_client::~soup_client() = default;

auto soup_client::session_for(upstream_request const& it)
    -> std::shared_ptr<session>
{
    auto& held = sessions_[it.backend];
    // The session bounds its connections, idle ones included. When fewer are
    // allowed, a new one starts from none and the old one ends with its
    // calls. Half of what is granted leaves the session alone while the
    // share moves a little, and is four connections for each slot.
    auto const allowed = std::max(it.connections, connection_count{1});
    if (!held || held->address != it.address || held->most > allowed)
    {
        auto const half = (allowed.value() + 1) / 2;
        held = std::make_shared<session>(it.address, connection_count{half});
    }
    held->last_used = now();
    return held;
}

auto soup_client::drop_unused() -> void
{
    auto const old = now() - 6 * config::backend_idle_timeout;
    std::erase_if(sessions_,
                  [old](auto const& it)
                  {
                      return it.second->running == connection_count{0} &&
                             it.second->last_used < old;
                  });
}

auto soup_client::open(upstream_request const& request, upstream_events events)
    -> call
{
    constexpr std::uint64_t drop_every = 4096;
    if (++opened_ % drop_every == 0)
    {
        drop_unused();
    }
    auto it = std::make_shared<soup_call>(session_for(request), request.head,
                                          std::move(events));
    it->send();
    return it;
}

auto soup_client::connections(backend_id const& id) const -> connection_count
{
    auto const it = sessions_.find(id);
    return it == sessions_.end() ? connection_count{0} : it->second->most;
}

} // namespace apricotlb
