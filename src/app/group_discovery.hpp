/// Discovers the control processes of a deployment from seed addresses.
#ifndef APRICOTLB_APP_GROUP_DISCOVERY_HPP
#define APRICOTLB_APP_GROUP_DISCOVERY_HPP

#include "app/settings.hpp"
#include "core/entry/http.hpp"
#include "core/group/membership.hpp"
#include "core/group/socket_address.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Response of a control process to processes that discover its group.
struct node_view
{
    node_id node;
    url peers_at; ///< address for messages of other processes
    std::vector<node_id> members;

    static constexpr auto fields()
    {
        return field_list(field("node", &node_view::node),
                          field("peers_at", &node_view::peers_at),
                          field("members", &node_view::members));
    }
};

/// HTTP path at which control processes serve their node_view.
inline constexpr std::string_view node_view_path = "/v1/node";

/// Polls every known address for its node_view: every
/// config::discovery_interval until a leader answers, and every
/// config::discovery_interval_settled while one does. When no leader answers
/// any more, the interval doubles with each poll that some process answers, and
/// one process at a time is polled in between. Fetch is callable with (url,
/// callback of result<std::string>); Introduce with (node_id, url).
template <clock_port Clock, class Fetch, class Introduce, class Json>
class group_discovery
{
public:
    group_discovery(Clock& clock, Fetch fetch, Introduce introduce,
                    std::vector<endpoint> const& seeds)
        : clock_(clock), fetch_(std::move(fetch)),
          introduce_(std::move(introduce))
    {
        add_seeds(seeds);
        poll();
    }
    group_discovery(group_discovery const&) = delete;
    auto operator=(group_discovery const&) -> group_discovery& = delete;
    ~group_discovery() { clock_.cancel_timer(timer_); }

    /// Adds seed addresses. Seeds are never removed.
    auto add_seeds(std::vector<endpoint> const& seeds) -> void
    {
        for (auto const& it : seeds)
        {
            addresses_.try_emplace(it.value()).first->second.is_seed = true;
        }
    }

    /// Adds processes that are known in another way, such as the members of a
    /// stored log, unless they are known already.
    auto add_members(std::vector<node_id> const& members) -> void
    {
        auto const has_address = [](node_id const& id)
        { return is_socket_address(served_address(id)); };
        for (auto const& id : members | std::views::filter(has_address) |
                                  std::views::take(config::max_members))
        {
            auto const [it, added] = addresses_.try_emplace(served_address(id));
            if (added)
            {
                it->second.added = clock_.now();
                request_view(it->first, it->second);
            }
        }
    }

    /// While settled (a leader answers), polls are less frequent.
    auto set_settled(bool settled) -> void
    {
        settled_ = settled;
        was_settled_ = was_settled_ || settled;
    }

    /// Called after each valid response with all processes that have responded.
    auto on_found(std::function<void(std::vector<node_id> const&)> callback)
        -> void
    {
        on_found_ = std::move(callback);
    }

private:
    struct known_address
    {
        std::optional<node_id> node; ///< process of the last response
        time_point last_response{};
        time_point added{};
        bool is_seed{false};
        bool is_pending{false};
        bool is_responding{false}; ///< to its last poll
    };

    /// An address that is not a seed and has not responded for this long is
    /// removed.
    static constexpr duration removal_delay = std::chrono::seconds{30};
    /// All processes search at once while the group elects a leader. Polls
    /// every 300 ms by 50 processes take the time of the ones that elect.
    static constexpr duration max_interval = 8 * config::discovery_interval;

    auto poll() -> void
    {
        timer_ =
            clock_.start_timer(settled_ ? config::discovery_interval_settled
                                        : config::discovery_interval,
                               [this] { poll(); });
        auto const now = clock_.now();
        std::erase_if(addresses_,
                      [now](auto const& each)
                      {
                          auto const& it = each.second;
                          return !it.is_seed && !it.is_pending &&
                                 now - std::max(it.last_response, it.added) >
                                     removal_delay;
                      });
        if (!settled_ && now < next_full_poll_ && poll_one())
        {
            return;
        }
        // A start is not slowed down: processes that found a group wait for
        // others that are not up yet.
        full_interval_ = !settled_ && was_settled_ && got_response_
                             ? std::min(full_interval_ * 2, max_interval)
                             : config::discovery_interval;
        next_full_poll_ = now + full_interval_;
        got_response_ = false;
        for (auto& [address, it] : addresses_)
        {
            request_view(address, it);
        }
    }

    /// Polls the next process that responded last time. False if there is none.
    auto poll_one() -> bool
    {
        auto it = addresses_.upper_bound(last_polled_);
        for (std::size_t n = 0; n < addresses_.size(); ++n, ++it)
        {
            if (it == addresses_.end())
            {
                it = addresses_.begin();
            }
            if (it->second.is_responding)
            {
                last_polled_ = it->first;
                request_view(it->first, it->second);
                return true;
            }
        }
        return false;
    }

    auto request_view(std::string const& address, known_address& it) -> void
    {
        if (std::exchange(it.is_pending, true))
        {
            return;
        }
        fetch_(url{"http://" + address + std::string{node_view_path}},
               [this, address](result<std::string> got)
               { on_response(address, std::move(got)); });
    }

    auto on_response(std::string const& address, result<std::string> got)
        -> void
    {
        auto& source = addresses_[address];
        source.is_pending = false;
        auto const view = got.has_error()
                              ? result<node_view>{got.error()}
                              : Json::template decode<node_view>(got.value());
        if (view.has_error() ||
            !is_socket_address(served_address(view.value().node)) ||
            !is_tcp_url(view.value().peers_at.value()))
        {
            if (std::exchange(source.is_responding, false))
            {
                next_full_poll_ = clock_.now();
                got_response_ = false;
            }
            return;
        }
        source.is_responding = true;
        got_response_ = true;
        source.node = view.value().node;
        source.last_response = clock_.now();
        introduce_(view.value().node, view.value().peers_at);
        add_members(view.value().members);
        std::vector<node_id> nodes;
        for (auto const& [other_address, known] : addresses_)
        {
            if (known.node)
            {
                nodes.push_back(*known.node);
            }
        }
        if (on_found_)
        {
            on_found_(nodes);
        }
    }

    Clock& clock_;
    Fetch fetch_;
    Introduce introduce_;
    std::map<std::string, known_address> addresses_;
    std::function<void(std::vector<node_id> const&)> on_found_;
    bool settled_{false};
    bool was_settled_{false};
    /// Whether any process has responded since the last poll of all.
    bool got_response_{false};
    duration full_interval_{config::discovery_interval};
    time_point next_full_poll_{};
    std::string last_polled_;
    timer_id timer_;
};

} // namespace apricotlb

#endif
