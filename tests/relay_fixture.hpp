/// Ports of the relay that record what passes through them.
#ifndef APRICOTLB_TESTS_RELAY_FIXTURE_HPP
#define APRICOTLB_TESTS_RELAY_FIXTURE_HPP

#include "app/peer_message.hpp"
#include "core/fleet/relay_messages.hpp"
#include "ports/metrics.hpp"
#include "ports/run_worker.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Keeps the messages that were sent.
struct recording_transport
{
    struct message
    {
        node_id to;
        peer_message body;
    };

    auto send(node_id const& to, peer_message const& body) -> void
    {
        sent.push_back({to, body});
    }

    template <class Body>
    [[nodiscard]] auto all() const -> std::vector<std::pair<node_id, Body>>
    {
        std::vector<std::pair<node_id, Body>> found;
        found.reserve(sent.size());
        for (auto const& it : sent)
        {
            found.emplace_back(it.to, std::get<Body>(it.body));
        }
        return found;
    }

    std::vector<message> sent;
};

/// Counts the requests to workers and keeps their callbacks.
struct recording_workers
{
    template <class Order>
    auto send(Order const& it, std::function<void(order_answer)> done) -> void
    {
        to.push_back(it.to.instance.id);
        answers.push_back(std::move(done));
    }
    auto send(poll_order const& it, std::function<void(poll_answer)> done)
        -> void
    {
        to.push_back(it.to.instance.id);
        polls.push_back(std::move(done));
    }

    std::vector<worker_id> to; ///< one for each request
    std::vector<std::function<void(order_answer)>> answers;
    std::vector<std::function<void(poll_answer)>> polls;
};

static_assert(run_worker_port<recording_workers>);

struct counting_metrics
{
    auto count(std::string_view name, std::string_view label) -> void
    {
        ++counts[std::string{name} + "." + std::string{label}];
    }
    auto record(std::string_view, std::string_view, duration) -> void {}

    [[nodiscard]] auto routes(std::string const& label) const -> int
    {
        auto const it =
            counts.find(std::string{metric::order_routes} + "." + label);
        return it == counts.end() ? 0 : it->second;
    }

    std::map<std::string, int> counts;
};

static_assert(metrics_port<counting_metrics>);

inline auto target(std::string const& worker, std::string const& zone = "z0",
                   std::uint64_t fence = 7) -> order_target
{
    return {{worker_id{worker}, worker_incarnation{1}},
            url{worker + ":1"},
            zone_id{zone},
            make_fence(term{fence}, {})};
}

inline auto run_of(std::string const& workflow) -> task_run
{
    task_run it;
    it.task.workflow = workflow_id{workflow};
    it.number = run_number{1};
    return it;
}

inline auto start_at(order_target const& to) -> start_order
{
    return {to, run_of("a"), "payload", {}, worker_clock{5000}};
}

inline auto poll_of(order_target const& to, milliseconds wait = milliseconds{0})
    -> poll_order
{
    return {to, {}, worker_clock{5000}, wait};
}

} // namespace apricotlb

#endif
