#include "adapters/msgpack_codec.hpp"
#include "app/workflow_driver.hpp"
#include "fake_entry.hpp"
#include "paused_clock.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{
namespace
{

struct proposal
{
    command value;
    std::function<void(result<void>)> done;
};

/// Decides on each proposal at once; keeps those that it returns false for.
struct scripted_log
{
    std::function<bool(proposal&)>* decide;
    std::deque<proposal>* open;

    auto propose(command const& it,
                 std::function<void(result<void>)> done) const -> void
    {
        proposal next{it, std::move(done)};
        if (!(*decide)(next))
        {
            open->push_back(std::move(next));
        }
    }
    [[nodiscard]] static auto is_current() -> bool { return true; }
    static auto resign() -> void {}
};

/// Workers that answer each order after 5 ms and end each run after 200 ms.
struct answering_workers
{
    struct one
    {
        std::map<task_run, time_point> running;
        std::vector<ended_row> ended;
        end_number last;
    };

    paused_clock* clock;
    std::map<worker_id, one> known;
    bool are_silent{false};

    auto later(std::function<void()> run) const -> void
    {
        if (!are_silent)
        {
            clock->start_timer(milliseconds{5}, std::move(run));
        }
    }
    [[nodiscard]] auto worker_now() const -> worker_clock
    {
        return worker_clock{std::chrono::duration_cast<milliseconds>(
                                clock->now().time_since_epoch())
                                .count()};
    }
    auto send(start_order const& it, std::function<void(order_answer)> done)
        -> void
    {
        known[it.to.instance.id].running.emplace(it.run, clock->now() +
                                                             milliseconds{200});
        later(
            [this, done = std::move(done)] {
                done({order_outcome::done, worker_now()});
            });
    }
    auto send(stop_order const& it, std::function<void(order_answer)> done)
        -> void
    {
        auto& worker = known[it.to.instance.id];
        if (worker.running.erase(it.run) > 0)
        {
            worker.ended.push_back(
                {++worker.last, {it.run, run_end::stopped, {}}});
        }
        later(
            [this, done = std::move(done)] {
                done({order_outcome::done, worker_now()});
            });
    }
    auto send(pace_order const& /*it*/, std::function<void(order_answer)> done)
        -> void
    {
        later(
            [this, done = std::move(done)] {
                done({order_outcome::done, worker_now()});
            });
    }
    auto send(poll_order const& it, std::function<void(poll_answer)> done)
        -> void
    {
        later(
            [this, it, done = std::move(done)]
            {
                auto& worker = known[it.to.instance.id];
                std::erase_if(worker.ended, [&it](ended_row const& each)
                              { return each.number <= it.recorded; });
                poll_answer out;
                out.outcome = order_outcome::done;
                out.lists.incarnation = it.to.instance.incarnation;
                out.lists.clock = worker_now();
                std::erase_if(
                    worker.running,
                    [&](auto const& each)
                    {
                        if (each.second > clock->now())
                        {
                            out.lists.running.push_back({each.first, {}, 0, 0});
                            return false;
                        }
                        worker.ended.push_back(
                            {++worker.last,
                             {each.first, run_end::finished, {}}});
                        return true;
                    });
                out.lists.ended = worker.ended;
                done(out);
            });
    }
};

static_assert(run_worker_port<answering_workers>);

enum class proposal_kind : std::uint8_t
{
    start,
    end,
};

/// A leader with four workers and three workflows, of which one is a gang.
class proposal_fixture
{
public:
    explicit proposal_fixture(proposal_kind concerned) : kind_(concerned)
    {
        contract_set set;
        set.version = contract_set_version{1};
        set.pools.push_back({pool_name{"pool"}, true, false});
        queue_.name = queue_name{"q"};
        queue_.pool = pool_name{"pool"};
        queue_.timeout = milliseconds{3000};
        set.queues.push_back(queue_);
        apply(apply_contract_set{set});
        clock.advance(seconds{10});
        driver.start(state, term{1});
        submit("a", 3, false);
        submit("b", 2, false);
        submit("g", 3, true);
        announce();
    }

    /// Handles the first proposals of the kind; all others are committed.
    auto handle(std::size_t count, std::function<bool(proposal&)> how) -> void
    {
        left_ = count;
        how_ = std::move(how);
    }

    auto submit(std::string const& id, std::int64_t tasks, bool gang) -> void
    {
        workflow_spec spec;
        spec.id = workflow_id{id};
        auto& step = spec.steps.emplace_back();
        step.tasks = task_count{tasks};
        step.each.cores = millicores{1000};
        step.gang = gang;
        apply(submit_workflow{spec, queue_});
    }

    auto apply(command const& it) -> void
    {
        state.apply(it, log_index{++index_});
        driver.on_applied(it, state);
    }

    auto commit(proposal const& it) -> void
    {
        apply(it.value);
        it.done(outcome::success());
    }

    auto announce() -> void
    {
        for (auto n = 0; n < 4; ++n)
        {
            worker_announcement it;
            it.instance = {worker_id{"w" + std::to_string(n)},
                           worker_incarnation{1}};
            it.address = url{"http://w" + std::to_string(n)};
            it.pool = pool_name{"pool"};
            it.capacity.cores = capacity;
            it.clock = workers.worker_now();
            it.number = sequence{++announcements_};
            driver.on_announcement(it);
        }
    }

    /// Leads again, with the state of the log, after another leader.
    auto lead_again() -> void
    {
        driver.stop();
        driver.start(state, term{++term_});
        announce();
    }

    auto run(duration d) -> void
    {
        for (auto const end = clock.now() + d; clock.now() < end;)
        {
            clock.advance(milliseconds{1});
            if (clock.now() >= next_announcement_)
            {
                next_announcement_ = clock.now() + seconds{1};
                announce();
            }
        }
    }

    /// Runs on and expects that all work ends and all ends are acknowledged.
    auto expect_all_done(std::string const& where) -> void
    {
        run(seconds{15});
        EXPECT_TRUE(state.workflows().live().empty()) << where;
        for (auto const& [id, record] : state.workflows().live())
        {
            record.for_each_active(
                [&](workflow_task const& task, task_progress const&,
                    active_run const& active)
                {
                    ADD_FAILURE() << where << ": " << id.value() << "."
                                  << task.index.value() << " is recorded on "
                                  << active.worker.id.value();
                });
        }
        for (auto const& [id, worker] : driver.scheduler()->workers())
        {
            EXPECT_FALSE(worker.recording_ends) << where;
            EXPECT_TRUE(worker.runs.empty()) << where;
            EXPECT_EQ(worker.reserved.cores, millicores{0}) << where;
        }
        // A new leader polls only workers with runs, and acknowledges ends that
        // an earlier one has recorded with the next of them.
        for (auto const& [id, worker] : workers.known)
        {
            EXPECT_TRUE(worker.ended.empty() || term_ > 1)
                << where << ": " << id.value() << " may not forget its ends";
        }
    }

    paused_clock clock;
    answering_workers workers{&clock, {}, false};
    fake_metrics metrics;
    state_machine state;
    std::deque<proposal> open;
    millicores capacity{4000}; ///< of a worker

private:
    auto decide(proposal& it) -> bool
    {
        auto const is_concerned =
            kind_ == proposal_kind::start
                ? std::holds_alternative<start_runs>(it.value)
                : std::holds_alternative<end_runs>(it.value);
        if (is_concerned && left_ > 0)
        {
            --left_;
            return how_(it);
        }
        clock.start_timer(milliseconds{3},
                          [this, it = std::move(it), at = term_]
                          {
                              if (at == term_)
                              {
                                  commit(it);
                              }
                          });
        return true;
    }

    proposal_kind kind_;
    queue_contract queue_;
    std::uint64_t index_{0};
    std::uint64_t term_{1};
    std::uint64_t announcements_{0};
    time_point next_announcement_{};
    std::size_t left_{0};
    std::function<bool(proposal&)> how_;
    std::function<bool(proposal&)> decide_ = [this](proposal& it)
    { return this->decide(it); };

public:
    workflow_driver<paused_clock, answering_workers, scripted_log, fake_metrics>
        driver{clock, workers, metrics, scripted_log{&decide_, &open},
               fleet_policy{seconds{5}}};
};

constexpr std::array kinds{proposal_kind::start, proposal_kind::end};

auto name_of(proposal_kind it) -> std::string
{
    return it == proposal_kind::start ? "starts" : "ends";
}

/// Proposals of one pass and of the repetitions after it.
constexpr std::size_t some = 5;

TEST(proposal_outcome, all_work_ends_when_proposals_are_applied)
{
    for (auto const kind : kinds)
    {
        proposal_fixture it{kind};
        it.expect_all_done(name_of(kind));
    }
}

// The callback then runs within the loop over the actions.
TEST(proposal_outcome, all_work_ends_when_proposals_are_applied_at_once)
{
    for (auto const kind : kinds)
    {
        proposal_fixture it{kind};
        it.handle(some,
                  [&it](proposal& each)
                  {
                      it.commit(each);
                      return true;
                  });
        it.expect_all_done(name_of(kind));
    }
}

// A task that stays proposed after a refusal is never started.
TEST(proposal_outcome, all_work_ends_after_proposals_were_refused)
{
    for (auto const refusal : {error_kind::queue_full, error_kind::disk_full,
                               error_kind::bad_request, error_kind::not_leader})
    {
        for (auto const kind : kinds)
        {
            proposal_fixture it{kind};
            it.handle(some,
                      [refusal](proposal& each)
                      {
                          each.done(fail(refusal, "refused"));
                          return true;
                      });
            it.expect_all_done(name_of(kind) + " " +
                               std::string{apricotlb::name_of(refusal)});
        }
    }
}

// The same if the outcome comes later.
TEST(proposal_outcome, all_work_ends_after_proposals_were_dropped)
{
    for (auto const kind : kinds)
    {
        proposal_fixture it{kind};
        it.handle(some, [](proposal&) { return false; });
        it.run(milliseconds{400});
        ASSERT_FALSE(it.open.empty());
        it.handle(0, {});
        while (!it.open.empty())
        {
            it.open.front().done(fail(error_kind::no_leader, "dropped"));
            it.open.pop_front();
        }
        it.expect_all_done(name_of(kind));
    }
}

// What a command cannot apply must not hold the rest of it, nor its room.
TEST(proposal_outcome, all_work_ends_when_a_command_is_applied_in_part)
{
    for (auto const kind : kinds)
    {
        proposal_fixture it{kind};
        it.handle(1, [](proposal&) { return false; });
        it.run(milliseconds{400});
        ASSERT_EQ(it.open.size(), 1U);
        it.apply(cancel_workflow{workflow_id{"b"}, {}});
        auto const late = it.open.front();
        it.open.pop_front();
        it.commit(late);
        it.expect_all_done(name_of(kind));
    }
}

// A leader that is elected again has another scheduler: an outcome of the
// former one must neither reach it nor be missing.
TEST(proposal_outcome, all_work_ends_after_a_leader_was_elected_again)
{
    for (auto const kind : kinds)
    {
        for (auto const is_committed : {false, true})
        {
            for (auto const is_told_first : {false, true})
            {
                proposal_fixture it{kind};
                it.handle(some, [](proposal&) { return false; });
                it.run(milliseconds{400});
                ASSERT_FALSE(it.open.empty());
                it.handle(0, {});
                auto const dropped = std::exchange(it.open, {});
                auto const tell = [&dropped]
                {
                    for (auto const& each : dropped)
                    {
                        each.done(fail(error_kind::no_leader, "stepped down"));
                    }
                };
                // As replica does: the role first, then the callbacks.
                it.driver.stop();
                if (is_told_first)
                {
                    tell();
                }
                for (auto const& each : dropped)
                {
                    // The next leader may have had the entry, or not.
                    if (is_committed)
                    {
                        it.apply(each.value);
                    }
                }
                it.lead_again();
                if (!is_told_first)
                {
                    tell();
                }
                it.expect_all_done(name_of(kind) +
                                   (is_committed ? " committed" : " lost"));
            }
        }
    }
}

// A lone leader with a full disk reports its proposals as failed, keeps them,
// and commits them once it can write: their runs were recorded and never
// started.
TEST(proposal_outcome, all_work_ends_when_proposals_are_committed_after_all)
{
    for (auto const kind : kinds)
    {
        proposal_fixture it{kind};
        it.handle(1, [](proposal&) { return false; });
        it.run(milliseconds{400});
        ASSERT_EQ(it.open.size(), 1U);
        auto const late = it.open.front();
        it.open.pop_front();
        late.done(fail(error_kind::no_leader, "the disk was full"));
        it.apply(late.value);
        it.expect_all_done(name_of(kind));
    }
}

// A failed disk ends the lead within a proposal. What was left of the turn
// reached a scheduler that was gone, and the process crashed.
TEST(proposal_outcome, ends_the_turn_when_the_lead_ends_within_a_proposal)
{
    proposal_fixture it{proposal_kind::start};
    it.capacity = millicores{1'000'000};
    it.announce();
    it.handle(some,
              [&it](proposal& each)
              {
                  if (it.driver.scheduler())
                  {
                      it.driver.stop();
                  }
                  each.done(fail(error_kind::no_leader, "the disk failed"));
                  return true;
              });
    it.submit("more", 2 * config::max_runs_per_command, false);
    it.run(milliseconds{100});
    EXPECT_FALSE(it.driver.scheduler());
    it.handle(0, {});
    it.lead_again();
    it.expect_all_done("");
}

// The runs of a lost data centre end in one turn. Their ends in one command
// exceeded an entry of the log, so that it was refused each time.
TEST(proposal_outcome, records_the_ends_of_more_runs_than_an_entry_holds)
{
    constexpr std::uint32_t count = 5000;
    proposal_fixture it{proposal_kind::end};
    it.handle(1'000'000,
              [&it](proposal& each)
              {
                  if (msgpack_codec::encode(each.value).size() >
                      config::max_entry_bytes)
                  {
                      each.done(fail(error_kind::bad_request, "too large"));
                      return true;
                  }
                  it.clock.start_timer(milliseconds{3},
                                       [&it, each = std::move(each)]
                                       { it.commit(each); });
                  return true;
              });
    it.run(seconds{5});
    std::string const id(config::max_name_length, 'x');
    it.submit(id, count, false);
    for (std::uint32_t n = 0; n < count; n += 250)
    {
        start_runs starts;
        for (std::uint32_t k = n; k < n + 250; ++k)
        {
            starts.runs.push_back(
                {{{workflow_id{id}, {}, {}, task_index{k}}, run_number{1}},
                 {worker_id{"lost" + std::to_string(n)},
                  worker_incarnation{1}}});
        }
        it.state.apply(starts, log_index{1000 + n});
    }
    it.lead_again();
    it.run(seconds{30});
    auto const* const record = it.state.workflows().find(workflow_id{id});
    ASSERT_NE(record, nullptr);
    std::size_t still_lost{0};
    record->for_each_active(
        [&still_lost](workflow_task const&, task_progress const&,
                      active_run const& run)
        { still_lost += run.worker.id.value().starts_with("lost") ? 1U : 0U; });
    EXPECT_EQ(still_lost, 0U);
}

} // namespace
} // namespace apricotlb
