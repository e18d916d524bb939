#include "adapters/json_codec.hpp"
#include "adapters/msgpack_codec.hpp"
#include "app/control_role.hpp"
#include "fake_entry.hpp"
#include "memory_log.hpp"
#include "paused_clock.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

/// Two other members that grant all votes and confirm entries up to a limit,
/// and the answers to calls.
struct played_members
{
    paused_clock* clock;
    std::function<void(node_id const&, raft_message)> deliver;
    log_index confirm_up_to{1'000'000};
    std::map<call_id, call_answer> answers;
    bool are_silent{false};

    auto flush() -> void {}
    auto add_peer(node_id const& /*id*/, url const& /*address*/) -> void {}
    auto send(node_id const& to, peer_message const& it) -> void
    {
        if (auto const* const found = std::get_if<call_answer>(&it))
        {
            answers[found->id] = *found;
        }
        auto const* const message = std::get_if<raft_message>(&it);
        if (message == nullptr || are_silent)
        {
            return;
        }
        if (auto const* const vote = std::get_if<request_vote>(message))
        {
            reply(to, vote_answer{vote->in_term, vote->is_pre_vote, true});
        }
        else if (auto const* const append =
                     std::get_if<append_entries>(message))
        {
            auto const last =
                append->prev.index + log_index{append->entries.size()};
            reply(to, append_entries_answer{
                          append->in_term, true, append->prev.index,
                          std::min(last, confirm_up_to), append->sent_at});
        }
    }

private:
    auto reply(node_id const& from, raft_message it) -> void
    {
        clock->start_timer(milliseconds{1}, [this, from, it = std::move(it)]
                           { deliver(from, it); });
    }
};

struct no_workers
{
    auto send(url const& /*to*/, worker_command const& /*command*/,
              std::function<void(result<void>)> const& /*done*/) -> void
    {
    }
};

/// A worker that starts all it is told to and lists it.
struct listing_workers
{
    paused_clock* clock;
    std::set<task_run> running{};

    template <class Order, class Callback>
    auto send(Order const& order, Callback done) -> void
    {
        clock->start_timer(
            milliseconds{2},
            [this, order, done = std::move(done)]
            {
                worker_clock const now{std::chrono::duration_cast<milliseconds>(
                                           clock->now().time_since_epoch())
                                           .count()};
                if constexpr (std::is_same_v<Order, poll_order>)
                {
                    poll_answer out;
                    out.outcome = order_outcome::done;
                    out.lists.incarnation = order.to.instance.incarnation;
                    out.lists.clock = now;
                    for (auto const& run : running)
                    {
                        out.lists.running.push_back({run, {}, 0, 0});
                    }
                    done(out);
                }
                else
                {
                    if constexpr (std::is_same_v<Order, start_order>)
                    {
                        running.insert(order.run);
                    }
                    else if constexpr (std::is_same_v<Order, stop_order>)
                    {
                        running.erase(order.run);
                    }
                    done(order_answer{order_outcome::done, now});
                }
            });
    }
};

/// The leader of a group of three of which the test plays the others.
class group_leader
{
public:
    group_leader()
    {
        clock.advance(seconds{100});
        members.deliver = [this](node_id const& from, raft_message it)
        { role->take(from, std::move(it)); };
        auto options =
            replica_options::builder{}
                .self(node_id{"a"})
                .bootstrap({{node_id{"a"}, {}, {}}, {b, {}, {}}, {c, {}, {}}})
                .build()
                .value();
        role.emplace(
            clock, members, store, silent, runs, metrics,
            control_options{
                std::move(options), {}, fleet_policy{seconds{5}}, false});
        EXPECT_TRUE(role->start());
        wait_for_lead();
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
        clock.advance(milliseconds{100});
    }

    auto wait_for_lead() -> void
    {
        for (auto n = 0; n < 30 && !role->is_leader(); ++n)
        {
            clock.advance(milliseconds{100});
        }
        ASSERT_TRUE(role->is_leader());
    }

    template <class Body>
    auto call(Body body) -> call_id
    {
        ++last_id_;
        role->take(node_id{"entry"},
                   apricotlb::call{call_id{last_id_}, std::move(body)});
        return call_id{last_id_};
    }
    auto submit(std::string const& id) -> call_id
    {
        workflow_spec spec;
        spec.steps.resize(1);
        spec.steps[0].each.cores = millicores{1000};
        return call(workflow_call{workflow_action::submit, host_name{"h"},
                                  "/" + id, spec});
    }
    auto announce() -> void
    {
        worker_announcement it;
        it.instance = {worker_id{"w1"}, worker_incarnation{1}};
        it.address = url{"http://w1"};
        it.pool = pool_name{"pool"};
        it.capacity.cores = millicores{8000};
        it.clock = worker_clock{std::chrono::duration_cast<milliseconds>(
                                    clock.now().time_since_epoch())
                                    .count()};
        it.number = sequence{++announcements_};
        call(it);
    }

    /// Commits nothing from now on.
    auto hold_commits() -> void
    {
        members.confirm_up_to = role->status().log.commit_index;
    }
    auto release_commits() -> void
    {
        members.confirm_up_to = log_index{1'000'000};
    }

    /// Another member leads for a moment, and either replaces what is not
    /// committed or commits it.
    auto be_deposed(bool is_kept) -> void
    {
        auto const status = role->status().log;
        auto const next = status.in_term + term{1};
        auto const prev = is_kept ? status.last : status.commit_index;
        log_entry entry{next, prev + log_index{1}, entry_kind::noop, {}, {}};
        role->take(b, raft_message{append_entries{next,
                                                  {prev, status.in_term},
                                                  {entry},
                                                  entry.index,
                                                  clock.now()}});
        EXPECT_FALSE(role->is_leader());
    }

    [[nodiscard]] auto is_answered(call_id it) const -> bool
    {
        return members.answers.contains(it);
    }
    [[nodiscard]] auto is_refused(call_id it) const -> bool
    {
        return std::holds_alternative<call_failure>(
            members.answers.at(it).body);
    }
    [[nodiscard]] auto runs_of(std::string const& id) const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count(runs.running, workflow_id{id},
                               [](task_run const& each) -> workflow_id const&
                               { return each.task.workflow; }));
    }

    node_id const b{"b"};
    node_id const c{"c"};
    paused_clock clock;
    played_members members{&clock, {}, log_index{1'000'000}, {}, false};
    memory_disk disk;
    memory_log store{disk, &clock};
    no_workers silent;
    listing_workers runs{&clock};
    fake_metrics metrics;
    using role_type = control_role<paused_clock, played_members, memory_log,
                                   no_workers, listing_workers, msgpack_codec,
                                   snapshot_codec, json_codec, fake_metrics>;
    std::optional<role_type> role;

private:
    std::uint64_t last_id_{0};
    std::uint64_t announcements_{0};
};

// What a deposed leader had proposed must be answered, and must not count as
// proposed when the same process leads again.
TEST(leader_change, starts_all_work_when_the_same_process_leads_again)
{
    for (auto const is_kept : {false, true})
    {
        SCOPED_TRACE(is_kept);
        group_leader it;
        it.submit("a");
        it.clock.advance(milliseconds{100});
        it.hold_commits();
        it.announce(); // places "a"
        auto const pending = it.submit("x");
        auto const zone = it.call(command{evacuate_data_centre{zone_id{"z"}}});
        it.clock.advance(milliseconds{50});
        ASSERT_FALSE(it.is_answered(pending));
        ASSERT_FALSE(it.is_answered(zone));
        ASSERT_GT(it.role->status().log.last,
                  it.role->status().log.commit_index + log_index{2});
        ASSERT_EQ(it.runs_of("a"), 0U);
        it.be_deposed(is_kept);
        ASSERT_TRUE(it.is_answered(pending));
        EXPECT_TRUE(it.is_refused(pending) || is_kept);
        EXPECT_TRUE(it.is_answered(zone));
        it.release_commits();
        it.wait_for_lead();
        EXPECT_EQ(
            it.role->state().workflows().state(workflow_id{"x"}).has_value(),
            is_kept);
        it.announce();
        auto const again = it.submit("x");
        auto const zone_again =
            it.call(command{evacuate_data_centre{zone_id{"z"}}});
        it.clock.advance(seconds{1});
        ASSERT_TRUE(it.is_answered(again));
        EXPECT_FALSE(it.is_refused(again));
        EXPECT_TRUE(it.is_answered(zone_again));
        EXPECT_EQ(it.runs_of("a"), 1U);
        EXPECT_EQ(it.runs_of("x"), 1U);
        // A count of open commands that stays up would cost an entry for each
        // repetition.
        auto const last = it.role->status().log.last;
        it.call(command{evacuate_data_centre{zone_id{"z"}}});
        EXPECT_EQ(it.role->status().log.last, last);
    }
}

// A leader that is cut off for longer than its lease answers nobody, and its
// scheduler must go on with what it had proposed once it is back in time.
TEST(leader_change, starts_all_work_after_commits_were_late)
{
    group_leader it;
    it.submit("a");
    it.clock.advance(milliseconds{100});
    it.hold_commits();
    it.announce();
    auto const pending = it.submit("x");
    for (auto n = 0; n < 20; ++n)
    {
        it.clock.advance(milliseconds{200});
        it.announce();
    }
    EXPECT_FALSE(it.is_answered(pending));
    EXPECT_TRUE(it.role->is_leader());
    it.release_commits();
    it.clock.advance(seconds{1});
    ASSERT_TRUE(it.is_answered(pending));
    EXPECT_FALSE(it.is_refused(pending));
    EXPECT_EQ(it.runs_of("a"), 1U);
    EXPECT_EQ(it.runs_of("x"), 1U);
}

// Refusals of a leader that holds office without its lease looked like those of
// followers.
TEST(leader_change, counts_refusals_for_want_of_the_lease_apart)
{
    auto constexpr name = "apricotlb_call_refusals_total";
    group_leader it;
    it.members.are_silent = true;
    it.clock.advance(config::leader_lease + milliseconds{10});
    ASSERT_TRUE(it.role->is_in_office());
    auto const first = it.submit("a");
    ASSERT_TRUE(it.is_refused(first));
    EXPECT_EQ(std::get<call_failure>(it.members.answers.at(first).body).kind,
              error_kind::not_leader);
    EXPECT_EQ(it.metrics.of(name, "without_lease"), 1);
    EXPECT_EQ(it.metrics.of(name, "not_leader"), 0);

    it.be_deposed(true);
    it.submit("b");
    EXPECT_EQ(it.metrics.of(name, "without_lease"), 1);
    EXPECT_EQ(it.metrics.of(name, "not_leader"), 1);
}

// A disk that is full makes the leader step down; nothing may stay open.
TEST(leader_change, starts_all_work_after_the_disk_of_the_leader_was_full)
{
    group_leader it;
    it.submit("a");
    it.clock.advance(milliseconds{100});
    it.announce();
    auto const pending = it.submit("x");
    it.disk.full = true;
    it.clock.advance(seconds{2});
    ASSERT_TRUE(it.is_answered(pending));
    EXPECT_TRUE(it.is_refused(pending));
    it.disk.full = false;
    it.wait_for_lead();
    it.announce();
    auto const again = it.submit("x");
    it.clock.advance(seconds{1});
    ASSERT_TRUE(it.is_answered(again));
    EXPECT_FALSE(it.is_refused(again));
    EXPECT_EQ(it.runs_of("a"), 1U);
    EXPECT_EQ(it.runs_of("x"), 1U);
}

} // namespace
} // namespace apricotlb
