/// The checks of the soak find a planted fault of each kind, and nothing in a
/// history without faults.
#include "soak/config_ledger.hpp"
#include "soak/faults.hpp"
#include "soak/ledger.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace apricotlb::soak
{

namespace
{

using std::chrono::milliseconds;

auto at(int ms) -> time_point
{
    return time_point{} + std::chrono::hours{1} + milliseconds{ms};
}

auto plan(std::string const& id) -> workflow_plan
{
    workflow_plan it;
    it.id = id;
    it.queue_path = "/check/";
    it.spec = "spec of " + id;
    it.steps.resize(2);
    it.steps[1].prerequisites = {0};
    return it;
}

auto configuration(std::int64_t version, std::string const& prefix)
    -> nlohmann::json
{
    return {{"version", version}, {"routes", {{{"path_prefix", prefix}}}}};
}

/// A ledger with one accepted workflow.
class soak_ledger : public testing::Test
{
protected:
    soak_ledger()
    {
        seen.set_origin(at(0));
        seen.on_submission(plan("f1"));
        seen.on_submission_answer("f1", submission_answer::accepted, at(0));
    }

    auto start(std::string const& task, std::int64_t number,
               std::string const& worker, int ms) -> void
    {
        seen.on_start({task, number, worker, 1}, "spec of f1", "", false,
                      at(ms));
    }
    /// The worker holds the order back between the two times.
    auto start_late(std::string const& task, std::int64_t number,
                    std::string const& worker, int ordered_ms, int ms) -> void
    {
        seen.on_start({task, number, worker, 1}, "spec of f1", "", false,
                      at(ms), at(ordered_ms));
    }
    auto end(std::string const& task, std::int64_t number,
             std::string const& worker, std::string const& how, int ms) -> void
    {
        seen.on_end({task, number, worker, 1}, how, at(ms));
    }
    [[nodiscard]] auto broken() const -> std::vector<promise>
    {
        std::vector<promise> out;
        for (auto const& it : seen.findings())
        {
            out.push_back(it.broken);
        }
        return out;
    }

    disturbances disturbed;
    ledger seen{bounds{}, disturbed};
    config_ledger configs{bounds{}, seen};
};

using found = std::vector<promise>;

} // namespace

TEST_F(soak_ledger, finds_nothing_in_a_history_without_faults)
{
    start("f1.0.0.0", 1, "w1", 100);
    end("f1.0.0.0", 1, "w1", "lapsed", 200);
    start("f1.0.0.0", 2, "w2", 300);
    end("f1.0.0.0", 2, "w2", "done", 400);
    seen.on_end_recorded({"f1.0.0.0", 2, "w2", 1});
    start("f1.0.1.0", 1, "w1", 500);
    end("f1.0.1.0", 1, "w1", "done", 600);
    seen.on_state("f1", "completed", "e0", at(700), at(710));
    seen.check_refused(at(9000));
    seen.check_cancelled(at(9000));
    EXPECT_EQ(broken(), found{});
}

TEST_F(soak_ledger, finds_a_start_that_no_caller_asked_for)
{
    start("f2.0.0.0", 1, "w1", 100);
    start("f1.0.0.7", 1, "w1", 100);
    seen.on_start({"f1.0.0.0", 1, "w1", 1}, "another spec", "", false, at(100));
    seen.on_start({"f1.0.0.0", 1, "w1", 1}, "spec of f1", "of another task",
                  false, at(100));
    EXPECT_EQ(broken(), (found{promise::unasked, promise::unasked,
                               promise::unasked, promise::unasked}));
}

TEST_F(soak_ledger, finds_a_start_after_a_cancel)
{
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    start("f1.0.0.0", 1, "w1", 3900);
    EXPECT_EQ(broken(), found{});
    start("f1.0.0.0", 2, "w1", 4001);
    EXPECT_EQ(broken(), (found{promise::unasked, promise::twice}));
}

// A start order may lie in the socket of a frozen worker beyond the bound.
TEST_F(soak_ledger, allows_a_late_start_on_an_order_that_was_sent_in_time)
{
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    start_late("f1.0.0.0", 1, "w1", 3900, 6000);
    seen.check_cancelled(at(9400));
    end("f1.0.0.0", 1, "w1", "stopped", 9450);
    seen.check_cancelled(at(9600));
    seen.check_cancelled(at(20000));
    EXPECT_EQ(broken(), found{});
}

TEST_F(soak_ledger, finds_a_late_start_on_an_order_that_was_sent_too_late)
{
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    start_late("f1.0.0.0", 1, "w1", 4001, 6000);
    EXPECT_EQ(broken(), found{promise::unasked});
}

TEST_F(soak_ledger, finds_a_late_start_that_is_not_stopped_in_time)
{
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    start_late("f1.0.0.0", 1, "w1", 900, 6000);
    seen.check_cancelled(at(9499));
    EXPECT_EQ(broken(), found{});
    seen.check_cancelled(at(9500));
    EXPECT_EQ(broken(), found{promise::unasked});
}

// A worker that was disturbed when the check was due was never checked again.
TEST_F(soak_ledger, finds_a_run_that_outlives_its_cancel_on_a_disturbed_worker)
{
    start("f1.0.0.0", 1, "w1", 100);
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    disturbed.begin("w1", at(4000));
    seen.check_cancelled(at(4600));
    disturbed.end("w1", at(5000));
    seen.check_cancelled(at(8400));
    EXPECT_EQ(broken(), found{});
    seen.check_cancelled(at(8600));
    EXPECT_EQ(broken(), found{promise::unasked});
}

TEST_F(soak_ledger, finds_a_run_that_outlives_its_cancel_once_all_is_calm)
{
    start("f1.0.0.0", 1, "w1", 100);
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    disturbed.mark("c1", at(3000));
    seen.check_cancelled(at(4600));
    EXPECT_EQ(broken(), found{});
    seen.check_cancelled(at(6600));
    EXPECT_EQ(broken(), found{promise::unasked});
}

// A worker that shuts down gracefully still stops what it is told to stop.
TEST_F(soak_ledger, finds_a_run_that_outlives_its_cancel_on_a_draining_worker)
{
    start("f1.0.0.0", 1, "w1", 100);
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    disturbed.mark_planned("w1", at(4000));
    seen.check_cancelled(at(4499));
    EXPECT_EQ(broken(), found{});
    seen.check_cancelled(at(4500));
    EXPECT_EQ(broken(), found{promise::unasked});
    end("f1.0.0.0", 1, "w1", "stopped", 9000);
    ASSERT_EQ(seen.notes().size(), 1U);
    EXPECT_TRUE(seen.notes()[0].ends_with("as stopped")) << seen.notes()[0];
}

/// Adds a workflow with two lasting tasks, and room on two workers.
class standing_work : public soak_ledger
{
protected:
    standing_work()
    {
        auto it = plan("f2");
        it.spec = "spec of f1";
        it.steps.resize(1);
        it.steps[0].tasks = 2;
        it.steps[0].permanent = true;
        it.steps[0].anti_affinity = 1;
        seen.on_submission(it);
        start("f1.0.0.0", 1, "w1", 0);
    }
    auto accept_lasting() -> void
    {
        seen.on_submission_answer("f2", submission_answer::accepted, at(0));
        start("f2.0.0.0", 1, "w1", 0);
        start("f2.0.0.1", 1, "w2", 0);
    }
    /// Checks ten times a second.
    auto check(int from_ms, int to_ms,
               std::optional<time_point> traffic_end = {}) -> void
    {
        for (auto ms = from_ms; ms <= to_ms; ms += 100)
        {
            seen.check_standing(at(ms), rooms, traffic_end);
        }
    }

    std::vector<worker_room> rooms{{"w1", 4000, 4096, 3000, 4096},
                                   {"w2", 4000, 4096, 3000, 4096},
                                   {"w3", 4000, 4096, 3000, 4096}};
};

TEST_F(standing_work, finds_a_workflow_with_nothing_running)
{
    end("f1.0.0.0", 1, "w1", "lapsed", 1000);
    check(0, 3900);
    EXPECT_EQ(broken(), found{});
    check(4000, 5000);
    EXPECT_EQ(broken(), found{promise::lost});
    start("f1.0.0.0", 2, "w1", 5100);
    EXPECT_EQ(seen.notes().size(), 1U);
}

TEST_F(standing_work, allows_what_is_busy_has_no_room_or_is_cancelled)
{
    check(0, 5000); // f1 runs
    end("f1.0.0.0", 1, "w1", "lapsed", 5000);
    rooms[0].cpu_free = rooms[1].cpu_free = 900;
    check(5000, 10000);
    rooms[0].cpu_free = rooms[1].cpu_free = 3000;
    check(10100, 13000); // room for less than 3 s
    seen.on_cancel_sent("f1", at(13050));
    check(13100, 20000);
    EXPECT_EQ(broken(), found{});
}

TEST_F(standing_work, finds_a_lasting_task_beside_others_of_its_workflow)
{
    accept_lasting();
    end("f2.0.0.0", 1, "w1", "left", 1000);
    check(0, 3900);
    EXPECT_EQ(broken(), found{});
    check(4000, 4000);
    EXPECT_EQ(broken(), found{promise::lost});
}

TEST_F(standing_work, counts_by_day_after_calm_and_at_the_end_from_its_time)
{
    accept_lasting();
    end("f2.0.0.0", 1, "w1", "left", 1000);
    disturbed.mark("w9", at(1000));
    check(0, 8000);
    EXPECT_EQ(broken(), found{});
    disturbed.mark("c0", at(7500));
    check(8100, 8900, at(6000));
    EXPECT_EQ(broken(), found{});
    check(9000, 9100, at(6000));
    EXPECT_EQ(broken(), found{promise::lost});
}

TEST_F(standing_work, leaves_out_workers_that_anti_affinity_bars)
{
    accept_lasting();
    rooms.resize(2);
    end("f2.0.0.0", 1, "w1", "left", 1000);
    check(0, 9000); // only w1 is open to the task
    EXPECT_EQ(broken(), found{});
}

TEST_F(soak_ledger, finds_a_task_in_two_places_and_after_its_recorded_end)
{
    start("f1.0.0.0", 1, "w1", 100);
    start("f1.0.0.0", 2, "w2", 200);
    EXPECT_EQ(broken(), found{promise::twice});
    end("f1.0.0.0", 1, "w1", "done", 300);
    end("f1.0.0.0", 2, "w2", "stopped", 300);
    seen.on_end_recorded({"f1.0.0.0", 1, "w1", 1});
    start("f1.0.0.0", 3, "w3", 400);
    EXPECT_EQ(broken(), (found{promise::twice, promise::twice}));
}

TEST_F(soak_ledger, finds_a_step_that_starts_before_its_prerequisites)
{
    start("f1.0.1.0", 1, "w1", 100);
    EXPECT_EQ(broken(), found{promise::order});
}

TEST_F(soak_ledger, finds_a_start_on_a_worker_that_is_leaving)
{
    seen.on_drain_acknowledged("w1", 1, at(0));
    start("f1.0.0.0", 1, "w1", 1900);
    EXPECT_EQ(broken(), found{});
    end("f1.0.0.0", 1, "w1", "stopped", 1950);
    start("f1.0.0.0", 2, "w1", 2100);
    EXPECT_EQ(broken(), found{promise::drain});
}

TEST_F(soak_ledger, finds_accepted_work_that_is_unknown_or_ended_without_cause)
{
    seen.on_state("f1", "unknown", "e0", at(2900), at(2910));
    EXPECT_EQ(broken(), found{});
    seen.on_state("f1", "unknown", "e0", at(3100), at(3110));
    seen.on_state("f1", "failed", "e0", at(3100), at(3110));
    seen.on_state("f1", "cancelled", "e0", at(3100), at(3110));
    seen.on_state("f1", "completed", "e0", at(3100), at(3110));
    EXPECT_EQ(broken(), (found{promise::lost, promise::lost, promise::lost,
                               promise::shown, promise::shown}));
}

TEST_F(soak_ledger, finds_refused_work_that_runs)
{
    seen.on_submission(plan("f2"));
    seen.on_submission_answer("f2", submission_answer::refused, at(10));
    seen.on_start({"f2.0.0.0", 1, "w1", 1}, "spec of f2", "", false, at(100));
    seen.check_refused(at(1000));
    EXPECT_EQ(broken(), found{promise::refused});
}

TEST_F(soak_ledger, finds_a_request_that_is_cut_at_a_planned_end)
{
    disturbed.mark_planned("e0", at(1000));
    seen.on_cut("e0", "GET /a", at(1900), at(2000));
    EXPECT_EQ(broken(), found{});
    seen.on_cut("e0", "GET /b", at(1700), at(2000));
    EXPECT_EQ(broken(), found{promise::cut});
    disturbed.mark("e0", at(2500));
    seen.on_cut("e0", "GET /c", at(2400), at(2700));
    EXPECT_EQ(broken(), found{promise::cut});
}

TEST_F(soak_ledger, finds_configurations_that_go_back_or_were_never_sent)
{
    configs.on_sent(3, configuration(3, "/a/"), at(0));
    configs.on_sent(5, configuration(5, "/b/"), at(0));
    configs.on_answer(3, true, 200, "c0", at(0));
    configs.on_answer(5, true, 200, "c0", at(0));
    configs.on_read("c1", configuration(3, "/a/").dump(), at(1900), at(1910));
    configs.on_count("e0", "/a/", 200, at(1900), at(1910));
    EXPECT_EQ(broken(), found{});
    configs.on_read("c1", configuration(3, "/a/").dump(), at(2100), at(2110));
    configs.on_count("e0", "/a/", 200, at(2100), at(2110));
    configs.on_count("e0", "/b/", 404, at(2100), at(2110));
    configs.on_read("c1", configuration(5, "/a/").dump(), at(2100), at(2110));
    EXPECT_EQ(broken(),
              (found{promise::config_order, promise::config_order,
                     promise::config_order, promise::config_invalid}));
}

TEST_F(soak_ledger, finds_wrong_answers_to_configurations)
{
    configs.on_sent(3, configuration(3, "/a/"), at(0));
    configs.on_answer(3, true, 409, "c0", at(0));
    configs.on_answer(9, false, 200, "c0", at(0));
    EXPECT_EQ(broken(),
              (found{promise::config_refused, promise::config_invalid}));
}

TEST_F(soak_ledger, finds_changes_that_are_not_acknowledged_while_all_is_calm)
{
    configs.on_sent(3, configuration(3, "/a/"), at(0));
    seen.on_cancel_sent("f1", at(0));
    configs.check(at(3900));
    seen.check_cancelled(at(3900));
    EXPECT_EQ(broken(), found{});
    configs.check(at(4100));
    seen.check_cancelled(at(4100));
    EXPECT_EQ(broken(),
              (found{promise::unacknowledged, promise::unacknowledged}));
}

// A signal to any entry excused each cancel near it, so that late answers of a
// leader went unseen.
TEST_F(soak_ledger, finds_an_unanswered_cancel_beside_disturbed_entries)
{
    seen.on_cancel_sent("f1", at(0));
    disturbed.mark("e1", at(1000));
    disturbed.mark_planned("e2", at(2000));
    disturbed.begin("w1", at(3000));
    seen.check_cancelled(at(4000));
    EXPECT_EQ(broken(), found{});
    seen.check_cancelled(at(4100));
    EXPECT_EQ(broken(), found{promise::unacknowledged});
}

TEST_F(soak_ledger, allows_a_cancel_that_waits_without_a_steady_stretch)
{
    seen.on_cancel_sent("f1", at(0));
    disturbed.mark_planned("c0", at(100));
    seen.check_cancelled(at(7100));
    disturbed.begin("lw1", at(7110));
    seen.check_cancelled(at(9000));
    disturbed.end("lw1", at(9000));
    seen.check_cancelled(at(13000));
    EXPECT_EQ(broken(), found{});
    seen.check_cancelled(at(13100));
    EXPECT_EQ(broken(), found{promise::unacknowledged});
}

/// Reads at an entry, twice a second.
class soak_service : public soak_ledger
{
protected:
    auto read(std::string const& entry, call_service how, int from_ms,
              int to_ms) -> void
    {
        constexpr auto gap_ms = 500;
        for (auto ms = from_ms; ms <= to_ms; ms += gap_ms)
        {
            seen.on_call(entry, "GET", how, at(ms), at(ms + 100));
        }
    }
};

// Entries that answered nothing for 25 s beside a calm core broke no promise
// (issue 67).
TEST_F(soak_service, finds_an_entry_that_serves_nothing_while_all_is_calm)
{
    disturbed.mark("e2", at(1000)); // another entry is no excuse
    read("e1", call_service::refused, 0, 3500);
    seen.on_call("e1", "GET", call_service::unanswered, at(3600), at(4000));
    EXPECT_EQ(broken(), found{});
    read("e1", call_service::refused, 4000, 6000);
    ASSERT_EQ(broken(), found{promise::unserved});
    EXPECT_EQ(seen.findings()[0].text,
              "e1 serves no GET from 0 ms to 4100 ms, 9 refused, "
              "1 unanswered");
    read("e1", call_service::served, 6500, 6500);
    ASSERT_EQ(seen.notes().size(), 1U);
    EXPECT_EQ(seen.notes()[0], "e1 serves no GET from 0 ms to 6100 ms, "
                               "13 refused, 1 unanswered");
}

// Each method is served in its own way: reads without an answer would hide
// behind cancels that are answered.
TEST_F(soak_service, finds_reads_that_are_not_served_beside_other_calls)
{
    for (auto ms = 0; ms <= 4500; ms += 500)
    {
        read("e1", call_service::unanswered, ms, ms);
        seen.on_call("e1", "DELETE", call_service::served, at(ms), at(ms));
        read("e2", call_service::served, ms, ms);
    }
    EXPECT_EQ(broken(), found{promise::unserved});
}

TEST_F(soak_service, allows_single_refusals_and_gaps_between_calls)
{
    read("e1", call_service::refused, 0, 3500);
    read("e1", call_service::served, 4000, 4000);
    // Sent before the answer that was served, and refused after it.
    seen.on_call("e1", "GET", call_service::refused, at(3700), at(4500));
    read("e1", call_service::refused, 5000, 7500);
    read("e1", call_service::refused, 9000, 12500);
    EXPECT_EQ(broken(), found{});
}

TEST_F(soak_service, allows_an_entry_that_was_just_restarted)
{
    disturbed.begin("e1", at(0));
    read("e1", call_service::unanswered, 0, 1000);
    disturbed.end("e1", at(1000));
    read("e1", call_service::refused, 1500, 7500);
    EXPECT_EQ(broken(), found{});
    read("e1", call_service::refused, 8000, 8500);
    EXPECT_EQ(broken(), found{promise::unserved});
}

TEST_F(soak_service, allows_a_core_in_an_election)
{
    read("e1", call_service::refused, 0, 3500);
    disturbed.mark("c0", at(3600));
    read("e1", call_service::refused, 4000, 10500);
    EXPECT_EQ(broken(), found{});
    read("e1", call_service::refused, 11000, 11500);
    EXPECT_EQ(broken(), found{promise::unserved});
}

TEST_F(soak_service, allows_slow_disks_of_a_majority_and_harmed_links_only)
{
    disturbed.set_slow_disks(3, 5, at(0));
    read("e1", call_service::refused, 0, 9500);
    disturbed.set_slow_disks(2, 5, at(10000));
    disturbed.begin("lw1", at(10000));
    read("e1", call_service::refused, 10000, 19500);
    disturbed.end("lw1", at(20000));
    EXPECT_EQ(broken(), found{});
    read("e1", call_service::refused, 20500, 25000);
    EXPECT_EQ(broken(), found{promise::unserved});
}

// A job that no longer exists has nothing left to cancel.
TEST_F(soak_ledger, takes_a_cancel_of_an_unknown_workflow_as_answered)
{
    seen.on_cancel_sent("f1", at(0));
    seen.on_cancel_answer("f1", at(1500), false);
    seen.check_cancelled(at(9000));
    EXPECT_EQ(broken(), found{});
    EXPECT_EQ(seen.cancels(), 0U);
    EXPECT_EQ(seen.cancel_times(at(9000)),
              "cancel p50 1500 p99 1500 longest 1500 of 1: f1 from 0 ms");
}

// Tasks that run on for as long as a leader answers no cancel went unseen.
TEST_F(soak_ledger, finds_a_run_that_outlives_a_cancel_without_an_answer)
{
    start("f1.0.0.0", 1, "w1", 100);
    seen.on_cancel_sent("f1", at(0));
    seen.check_cancelled(at(4100));
    seen.on_cancel_answer("f1", at(6000));
    EXPECT_EQ(broken(), found{promise::unacknowledged});
    seen.check_cancelled(at(7500));
    EXPECT_EQ(broken(), found{promise::unacknowledged});
    seen.check_cancelled(at(7600));
    EXPECT_EQ(broken(), (found{promise::unacknowledged, promise::unasked}));
}

// A signal to one entry excused the starts of all others.
TEST_F(soak_ledger, finds_a_start_after_a_cancel_by_an_entry_in_touch)
{
    seen.on_cancel_sent("f1", at(900));
    seen.on_cancel_answer("f1", at(1000));
    disturbed.mark("e1", at(3000));
    auto const start_by = [this](std::string const& entry, std::int64_t number)
    {
        seen.on_start({"f1.0.0.0", number, "w1", 1}, "spec of f1", "", false,
                      at(4100), {}, {entry, {}});
        end("f1.0.0.0", number, "w1", "stopped", 4200);
    };
    start_by("e1", 1);
    EXPECT_EQ(broken(), found{});
    start_by("e2", 2);
    EXPECT_EQ(broken(), found{promise::unasked});
    disturbed.mark("c0", at(3500));
    start_by("e2", 3);
    EXPECT_EQ(broken(), found{promise::unasked});
}

// A cancel without an answer would make the figure better.
TEST_F(soak_ledger, measures_the_time_to_the_answer_of_a_cancel)
{
    EXPECT_EQ(seen.cancel_times(at(0)), "cancel p50 0 p99 0 longest 0 of 0");
    seen.on_cancel_sent("f1", at(100));
    seen.on_cancel_sent("f1", at(600)); // sent again
    EXPECT_EQ(seen.cancel_times(at(900)),
              "cancel p50 800 p99 800 longest 800 of 1: f1 from 100 ms");
    seen.on_cancel_answer("f1", at(1000));
    EXPECT_EQ(seen.cancel_times(at(9000)),
              "cancel p50 900 p99 900 longest 900 of 1: f1 from 100 ms");
}

// Without the time that work stands after a loss, a fault shows only once it
// has broken a promise.
TEST_F(standing_work,
       measures_the_time_without_a_run_after_the_loss_of_a_worker)
{
    accept_lasting();
    end("f1.0.0.0", 1, "w1", "crashed", 1000);
    end("f2.0.0.1", 1, "w2", "lapsed", 1000);
    check(1050, 1750);
    start("f2.0.0.1", 2, "w3", 1800);
    check(1850, 2450);
    start("f1.0.0.0", 2, "w3", 2500);
    EXPECT_EQ(seen.recovery(at(2500)),
              "recovery p50 800 p99 1500 longest 1500 of 2: "
              "f1.0.0.0 from 1000 ms");
}

TEST_F(standing_work,
       measures_the_time_without_a_run_after_the_loss_of_a_leader)
{
    end("f1.0.0.0", 1, "w1", "done", 1000);
    disturbed.mark("c0", at(500));
    check(1050, 1850);
    start("f1.0.1.0", 1, "w1", 1900);
    EXPECT_EQ(seen.recovery(at(1900)),
              "recovery p50 900 p99 900 longest 900 of 1: "
              "f1.0.1.0 from 1000 ms");
}

// A lost run beside others that end later would be left out of the figure.
TEST_F(standing_work, measures_the_time_after_a_loss_before_the_last_end)
{
    auto it = plan("f3");
    it.spec = "spec of f1";
    it.steps[0].tasks = 2;
    seen.on_submission(it);
    seen.on_submission_answer("f3", submission_answer::accepted, at(0));
    start("f3.0.0.0", 1, "w1", 0);
    start("f3.0.0.1", 1, "w2", 0);
    end("f3.0.0.0", 1, "w1", "crashed", 1000);
    end("f3.0.0.1", 1, "w2", "done", 2000);
    check(2050, 2450);
    start("f3.0.0.0", 2, "w3", 2500);
    EXPECT_EQ(seen.recovery(at(2500)),
              "recovery p50 500 p99 500 longest 500 of 1: "
              "f3.0.0.0 from 2000 ms");
}

// Work that never starts again would make the figure better.
TEST_F(standing_work, measures_what_still_stands_in_the_end)
{
    end("f1.0.0.0", 1, "w1", "crashed", 1000);
    check(1050, 1850);
    EXPECT_EQ(seen.recovery(at(8000)),
              "recovery p50 7000 p99 7000 longest 7000 of 1: "
              "f1.0.0.0 from 1000 ms");
    seen.on_cancel_sent("f1", at(8000));
    EXPECT_EQ(seen.recovery(at(8000)), "recovery p50 0 p99 0 longest 0 of 0");
    start("f1.0.0.0", 2, "w1", 8100); // an order under way
    EXPECT_EQ(seen.recovery(at(8200)), "recovery p50 0 p99 0 longest 0 of 0");
}

// Waits that no loss has caused would make the figure better.
TEST_F(standing_work, measures_no_wait_without_a_loss_or_without_room)
{
    end("f1.0.0.0", 1, "w1", "done", 5000);
    check(5050, 5450);
    start("f1.0.1.0", 1, "w1", 5500);
    end("f1.0.1.0", 1, "w1", "crashed", 6000);
    rooms[0].cpu_free = rooms[1].cpu_free = 900;
    check(6050, 6950);
    start("f1.0.1.0", 2, "w2", 7000);
    EXPECT_EQ(seen.recovery(at(7000)), "recovery p50 0 p99 0 longest 0 of 0");
}

// Work that stands was excused by one slow disk, and reported with slow disks
// everywhere, where commits may be late.
TEST_F(standing_work, excuses_late_starts_by_slow_disks_of_a_majority_only)
{
    disturbed.set_slow_disks(2, 5, at(0));
    end("f1.0.0.0", 1, "w1", "lapsed", 8000);
    check(8000, 11000);
    EXPECT_EQ(broken(), found{promise::lost});
    accept_lasting();
    disturbed.set_slow_disks(3, 5, at(12000));
    end("f2.0.0.0", 1, "w1", "left", 12000);
    check(12000, 30000, at(20000));
    EXPECT_EQ(broken(), found{promise::lost});
    disturbed.set_slow_disks(2, 5, at(30000));
    check(30100, 37000, at(20000));
    EXPECT_EQ(broken(), found{promise::lost});
    check(37100, 37200, at(20000));
    EXPECT_EQ(broken(), (found{promise::lost, promise::lost}));
}

TEST_F(soak_ledger, finds_what_has_no_time_bound_with_slow_disks_everywhere)
{
    disturbed.set_slow_disks(5, 5, at(0));
    start("f1.0.0.0", 1, "w1", 9000);
    start("f1.0.0.0", 2, "w2", 9100);
    seen.on_state("f1", "cancelled", "e0", at(9500), at(9510));
    seen.on_cancel_sent("f1", at(10000));
    seen.check_cancelled(at(19000)); // may be late
    EXPECT_EQ(broken(), (found{promise::twice, promise::lost}));
}

TEST(soak_schedule, is_the_same_for_the_same_seed)
{
    std::set<std::size_t> counts;
    for (std::uint64_t seed = 0; seed < 100; ++seed)
    {
        auto const disks = make_slow_disks(seed);
        EXPECT_EQ(disks.sync_delay, make_slow_disks(seed).sync_delay);
        counts.insert(disks.sync_delay.count() == 0 ? 0 : disks.count);
    }
    EXPECT_EQ(counts, (std::set<std::size_t>{0, 1, slow_disks::all}));
    auto const length = std::chrono::seconds{60};
    auto const first = make_schedule(7, length);
    auto const second = make_schedule(7, length);
    ASSERT_FALSE(first.empty());
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t n = 0; n < first.size(); ++n)
    {
        EXPECT_EQ(first[n].at, second[n].at);
        EXPECT_EQ(first[n].kind, second[n].kind);
        EXPECT_EQ(first[n].seed, second[n].seed);
    }
}

// Clocks that shifted the other faults would make seeds of old findings
// useless.
TEST(soak_schedule, steps_clocks_beside_the_other_faults)
{
    auto const length = std::chrono::seconds{60};
    auto const is_step = [](fault const& it) { return it.step.count() != 0; };
    for (std::uint64_t seed = 0; seed < 100; ++seed)
    {
        auto const plain = make_schedule(seed, length);
        EXPECT_TRUE(std::ranges::none_of(plain, is_step));
        for (auto const clocks :
             {clock_steps::back, clock_steps::ahead, clock_steps::both})
        {
            auto all = make_schedule(seed, length, clocks);
            std::set<fault_kind> kinds;
            for (auto const& it : all)
            {
                if (is_step(it))
                {
                    kinds.insert(it.kind);
                    EXPECT_TRUE(clocks == clock_steps::both ||
                                (it.step.count() < 0) ==
                                    (clocks == clock_steps::back));
                }
            }
            EXPECT_EQ(kinds.size(), 3U);
            auto rest = plain;
            for (auto const& stop : all)
            {
                if (stop.kind == fault_kind::restart_core_stepped)
                {
                    std::erase_if(
                        rest,
                        [&](fault const& it) {
                            return it.at >= stop.at &&
                                   it.at < stop.at + std::chrono::seconds{20};
                        });
                }
            }
            std::erase_if(all, is_step);
            EXPECT_TRUE(
                std::ranges::equal(all, rest, {}, &fault::seed, &fault::seed));
        }
    }
}

TEST(soak_schedule, steps_clocks_of_a_quarter_of_the_later_seeds)
{
    EXPECT_EQ(make_clock_steps(3), clock_steps::none);
    EXPECT_EQ(make_clock_steps(30), clock_steps::none);
    EXPECT_EQ(make_clock_steps(31), clock_steps::both);
    EXPECT_EQ(parse_clock_steps("ahead"), clock_steps::ahead);
    EXPECT_THROW((void)parse_clock_steps("forward"), std::invalid_argument);
}

} // namespace apricotlb::soak
