/// Discovers the control processes of a deployment from seed addresses.
#ifndef APRICOTLB_APP_GROUP_DISCOVERY_HPP
#define APRICOTLB_APP_GROUP_DISCOVERY_HPP

#include "app/settings.hpp"
#include "core/entry/http.hpp"
#include "core/group/membership.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <functional>
#include <map>
#include <optional>
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
/// config::discovery_interval_settled afterwards. Fetch is callable with (url,
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

    /// While settled (a leader answers), polls are less frequent.
    auto set_settled(bool settled) -> void { settled_ = settled; }

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
    };

    /// An address that is not a seed and has not responded for this long is
    /// removed.
    static constexpr duration removal_delay = std::chrono::seconds{30};

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
        for (auto& [address, it] : addresses_)
        {
            if (!it.is_pending)
            {
                it.is_pending = true;
                request_view(address);
            }
        }
    }

    auto request_view(std::string const& address) -> void
    {
        fetch_(url{"http://" + address + std::string{node_view_path}},
               [this, address](result<std::string> got)
               { on_response(address, std::move(got)); });
    }

    auto on_response(std::string const& address, result<std::string> got)
        -> void
    {
        auto& source = addresses_[address];
        source.is_pending = false;
        if (got.has_error())
        {
            return;
        }
        auto const view = Json::template decode<node_view>(got.value());
        if (view.has_error())
        {
            return;
        }
        source.node = view.value().node;
        source.last_response = clock_.now();
        introduce_(view.value().node, view.value().peers_at);
        for (auto const& id : view.value().members)
        {
            auto const [other, added] =
                addresses_.try_emplace(served_address(id));
            if (added)
            {
                other->second.added = source.last_response;
            }
        }
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
    timer_id timer_;
};

} // namespace apricotlb

#endif
