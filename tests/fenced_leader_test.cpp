/// Workers that refuse the fencing token of the leader in office.
#include "adapters/json_codec.hpp"
#include "adapters/msgpack_codec.hpp"
#include "app/control_role.hpp"
#include "fake_entry.hpp"
#include "fake_fleet.hpp"
#include "memory_log.hpp"
#include "paused_clock.hpp"
#include "state_fixture.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// Higher than the token of any leader.
constexpr auto highest_token = std::numeric_limits<std::int64_t>::max();

/// Workers w1, w2, ... with room for four tasks each.
struct test_fleet : fake_fleet
{
    explicit test_fleet(std::size_t count) : fake_fleet(1)
    {
        for (std::size_t n = 1; n <= count; ++n)
        {
            add_worker("w" + std::to_string(n), 4000);
        }
    }
};

// A single worker that refuses every token stopped the whole fleet for good.
TEST(fenced_leader, goes_on_with_the_others_if_one_worker_refuses_its_token)
{
    test_fleet fleet{3};
    auto& odd = *fleet.workers.at("w1");
    odd.raise_fence(highest_token);
    fleet.submit("a", {fake_fleet::step(20)});
    fleet.run(seconds{15});
    EXPECT_EQ(fleet.live_workflows(), 0U);
    EXPECT_FALSE(fleet.leader->is_fenced());

    auto const refused = odd.fenced_requests();
    EXPECT_GT(refused, 0U);
    fleet.submit("b", {fake_fleet::step(20)});
    fleet.run(seconds{15});
    EXPECT_EQ(fleet.live_workflows(), 0U);
    EXPECT_EQ(odd.fenced_requests(), refused)
        << "orders with a token that the worker has refused";
    EXPECT_EQ(fleet.violations, std::vector<std::string>{});
}

// The lease of such a worker is not extended: a run that counts as lost before
// the lease is over runs twice, one that never does is not run again.
TEST(fenced_leader, runs_on_a_worker_that_refuses_its_token_end_with_the_lease)
{
    test_fleet fleet{2};
    fleet.behaviour = [](std::string const&) {
        return platform_worker::run{0, time_point{seconds{20}}, "done", 1000};
    };
    fleet.submit("a", {fake_fleet::step(6)});
    fleet.run(seconds{3});
    auto const there = fleet.workers.at("w1")->running().size();
    ASSERT_GT(there, 0U);
    ASSERT_EQ(fleet.starts, 6U);
    fleet.workers.at("w1")->raise_fence(highest_token);
    fleet.run(seconds{60});
    EXPECT_EQ(fleet.live_workflows(), 0U);
    EXPECT_EQ(fleet.state_of("a"), workflow_state::completed);
    EXPECT_EQ(fleet.violations, std::vector<std::string>{});
    EXPECT_EQ(fleet.starts, 6U + there);
}

// A new life of a worker has seen no token; a mark that outlived the old one
// would leave the worker idle.
TEST(fenced_leader, gives_orders_to_the_next_life_of_the_worker)
{
    test_fleet fleet{1};
    fleet.workers.at("w1")->raise_fence(highest_token);
    fleet.submit("a", {fake_fleet::step(1)});
    fleet.run(seconds{10});
    EXPECT_EQ(fleet.live_workflows(), 1U);
    EXPECT_TRUE(fleet.leader->is_fenced());
    fleet.workers.at("w1")->restart(2, fleet.now);
    fleet.run(seconds{10});
    EXPECT_FALSE(fleet.leader->is_fenced());
    EXPECT_EQ(fleet.live_workflows(), 0U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>{});
}

// A higher token must not inherit the refusals of the lower one.
TEST(fenced_leader, a_leader_with_a_higher_token_gives_orders_again)
{
    test_fleet fleet{2};
    for (auto const& [name, it] : fleet.workers)
    {
        it->raise_fence(
            static_cast<std::int64_t>(make_fence(term{2}, {}).value()));
    }
    fleet.submit("a", {fake_fleet::step(8)});
    fleet.run(seconds{10});
    EXPECT_EQ(fleet.live_workflows(), 1U);
    EXPECT_TRUE(fleet.leader->is_fenced());
    fleet.lead();
    fleet.run(seconds{10});
    EXPECT_FALSE(fleet.leader->is_fenced());
    EXPECT_EQ(fleet.live_workflows(), 0U);
    EXPECT_EQ(fleet.violations, std::vector<std::string>{});
}

struct silent_transport
{
    auto flush() -> void {}
    auto send(node_id const& /*to*/, peer_message const& /*it*/) -> void {}
    auto add_peer(node_id const& /*id*/, url const& /*address*/) -> void {}
};

struct silent_workers
{
    auto send(url const& /*to*/, worker_command const& /*command*/,
              std::function<void(result<void>)> const& /*done*/) -> void
    {
    }
};

/// Workers that have seen a fencing token; what they run does not end.
struct fencing_workers
{
    paused_clock& clock;
    fence_token seen;
    std::vector<task_run> started{};
    std::map<worker_id, std::vector<task_run>> running{};

    static auto add_lists(order_answer& /*to*/, worker_instance const& /*of*/)
        -> void
    {
    }
    auto add_lists(poll_answer& to, worker_instance const& of) -> void
    {
        to.lists.incarnation = of.incarnation;
        for (auto const& run : running[of.id])
        {
            to.lists.running.push_back({run, {}, 0, 0});
        }
    }

    template <class Order, class Callback>
    auto send(Order const& it, Callback done) -> void
    {
        constexpr auto is_start = std::is_same_v<Order, start_order>;
        auto const is_fenced = it.to.fence < seen;
        if constexpr (is_start)
        {
            if (!is_fenced)
            {
                started.push_back(it.run);
                running[it.to.instance.id].push_back(it.run);
            }
        }
        constexpr auto is_poll = std::is_same_v<Order, poll_order>;
        if (is_fenced || is_start || is_poll)
        {
            clock.start_timer(
                milliseconds{5},
                [this, is_fenced, to = it.to.instance, done = std::move(done)]
                {
                    std::conditional_t<is_poll, poll_answer, order_answer>
                        answer;
                    answer.outcome =
                        is_fenced ? order_outcome::fenced : order_outcome::done;
                    this->add_lists(answer, to);
                    done(answer);
                });
        }
    }
};

/// A control process that is its own group, and three workers.
class lone_leader
{
public:
    explicit lone_leader(fence_token seen) : runs_{clock_, seen}
    {
        clock_.advance(seconds{100});
        auto options = replica_options::builder{}
                           .self(node_id{"a"})
                           .bootstrap({{node_id{"a"}, {}, {}}})
                           .build()
                           .value();
        role_.emplace(clock_, transport_, store_, workers_, runs_, metrics,
                      control_options{
                          std::move(options), {}, {seconds{5}, false}, false});
        EXPECT_TRUE(role_->start());
        run(seconds{1});
        EXPECT_TRUE(role_->is_leader());
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_contract queue;
        queue.name = queue_name{"q"};
        queue.host = host_name{"h"};
        queue.prefix = queue_path{"/"};
        queue.pool = pool_name{"pool"};
        queue.timeout = milliseconds{3000};
        queue.target = milliseconds{5000};
        set.queues.push_back(queue);
        call(command{apply_contract_set{set}});
        run(milliseconds{100});
    }

    template <class Body>
    auto call(Body body) -> void
    {
        role_->take(node_id{"entry"},
                    apricotlb::call{call_id{++last_call_}, std::move(body)});
    }

    auto submit(std::string const& id) -> void
    {
        workflow_spec spec;
        spec.steps.resize(1);
        spec.steps[0].tasks = task_count{4};
        spec.steps[0].each.cores = millicores{1000};
        call(workflow_call{workflow_action::submit, host_name{"h"}, "/" + id,
                           spec});
    }

    /// Lets time pass in which the workers announce themselves each second.
    auto run(duration d) -> void
    {
        for (auto const end = clock_.now() + d; clock_.now() < end;)
        {
            ++announcements_;
            for (auto const* const id : {"w1", "w2", "w3"})
            {
                worker_announcement it;
                it.instance = {worker_id{id}, worker_incarnation{1}};
                it.address = url{std::string{"http://"} + id};
                it.pool = pool_name{"pool"};
                it.capacity = {millicores{2000}, byte_count{1 << 30}, {}};
                it.clock = worker_clock{announcements_ * 1000};
                it.number =
                    sequence{static_cast<std::uint64_t>(announcements_)};
                call(it);
            }
            clock_.advance(std::min(duration{seconds{1}}, end - clock_.now()));
        }
    }

    [[nodiscard]] auto in_term() const -> term
    {
        return role_->status().log.in_term;
    }
    [[nodiscard]] auto started() const -> std::vector<task_run> const&
    {
        return runs_.started;
    }

    fake_metrics metrics;

private:
    using role_type =
        control_role<paused_clock, silent_transport, memory_log, silent_workers,
                     fencing_workers, msgpack_codec, snapshot_codec, json_codec,
                     fake_metrics>;

    paused_clock clock_;
    silent_transport transport_;
    memory_disk disk_;
    memory_log store_{disk_, &clock_};
    silent_workers workers_;
    fencing_workers runs_;
    std::uint64_t last_call_{0};
    std::int64_t announcements_{0};
    std::optional<role_type> role_;
};

// A leader whose token was exceeded stayed in office, accepted workflows and
// started none of them.
TEST(fenced_leader, makes_way_for_a_higher_term_if_its_token_is_exceeded)
{
    lone_leader it{make_fence(term{2}, {})};
    EXPECT_EQ(it.in_term(), term{1});
    it.submit("a");
    it.run(seconds{20});
    EXPECT_EQ(it.in_term(), term{2});
    EXPECT_EQ(it.started().size(), 4U);
}

} // namespace
} // namespace apricotlb
