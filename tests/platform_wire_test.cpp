#include "platform/answers.hpp"
#include "platform/run_codec.hpp"
#include "platform/wire.hpp"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace apricotlb::platform
{
namespace
{

auto const config_text = std::string{
    R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
    R"("path_prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,)"
    R"("target_duration_ms":300,"priority":2,"service":"s",)"
    R"("max_attempts":4,"stretch":1.5}],"services":[{"name":"s",)"
    R"("rejects_overload":true,"standby":false,"max_conns":64}],"x":1})"};

// A misread term would place, retry or judge every job of a queue wrongly.
TEST(platform_wire, reads_a_configuration)
{
    auto const it = decode_contract_set(config_text);
    ASSERT_TRUE(it) << it.error().detail;
    auto const& queue = it.value().queues.at(0);
    EXPECT_EQ(it.value().version, contract_set_version{7});
    EXPECT_EQ(queue.prefix, queue_path{"/q/"});
    EXPECT_EQ(queue.pool, pool_name{"s"});
    EXPECT_EQ(queue.max_failures, 4U);
    EXPECT_EQ(queue.stretch, permille{1500});
    EXPECT_EQ(queue.target, milliseconds{300});
    EXPECT_TRUE(it.value().pools.at(0).guarded);
    EXPECT_EQ(it.value().document, config_text);
}

// Every cut and every wrong type is refused, and none ends the process.
TEST(platform_wire, refuses_configurations_that_cannot_be_read)
{
    for (std::size_t n = 0; n < config_text.size(); ++n)
    {
        EXPECT_FALSE(decode_contract_set(config_text.substr(0, n)));
    }
    for (auto const* it :
         {R"([])", R"({"version":"7","routes":[],"services":[]})",
          R"({"version":7,"routes":{},"services":[]})",
          R"({"version":7,"routes":[1],"services":[]})",
          R"({"routes":[],"services":[]})",
          R"({"version":-1,"routes":[],"services":[]})"})
    {
        EXPECT_FALSE(decode_contract_set(it)) << it;
    }
}

// A body that goes on after a NUL byte is not read in full.
TEST(platform_wire, refuses_bodies_with_a_nul_byte)
{
    auto const tail = std::string{"\0,\"x\":", 6};
    auto const job = std::string{R"({"spec":"x","steps":[{"count":4}]})"};
    auto const heartbeat =
        std::string{R"({"service":"s","address":"10.0.0.1:80",)"
                    R"("state":"ready","seq":4,"capacity":{}})"};
    ASSERT_TRUE(decode_contract_set(config_text));
    ASSERT_TRUE(decode_workflow(job));
    ASSERT_TRUE(decode_announcement(worker_id{"i"}, heartbeat));
    for (auto const& rest : {tail, tail.substr(0, 1)})
    {
        EXPECT_FALSE(decode_contract_set(config_text + rest));
        EXPECT_FALSE(decode_workflow(job + rest));
        EXPECT_FALSE(decode_announcement(worker_id{"i"}, heartbeat + rest));
    }
}

/// A whole configuration in which each member can be replaced.
auto const full_config_text = std::string{
    R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
    R"("path_prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,)"
    R"("target_duration_ms":300,"priority":0,"service":"s",)"
    R"("max_attempts":4,"stretch":2.0}],"services":[{"name":"s",)"
    R"("health_path":"/health","max_conns":64,"protocol":"h1","tls":false,)"
    R"("rejects_overload":true,"standby":false}],"limits":)"
    R"({"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})"};

/// full_config_text with the first `"member":value` replaced by `with`.
auto config_with(std::string const& was, std::string const& with) -> std::string
{
    auto text = full_config_text;
    auto const at = text.find(was);
    EXPECT_NE(at, std::string::npos) << was;
    return text.replace(at, was.size(), with);
}

// Members that the scheduler does not use were not read, so a configuration
// that is invalid came into force.
TEST(platform_wire, refuses_members_of_another_type_that_it_does_not_use)
{
    ASSERT_TRUE(decode_contract_set(full_config_text));
    auto const limits =
        full_config_text.substr(full_config_text.find("\"limits\""));
    for (auto const& [was, with] :
         std::vector<std::pair<std::string, std::string>>{
             {R"("non_idempotent")", "3"},
             {R"("non_idempotent")", "{}"},
             {R"("/health")", "false"},
             {R"("/health")", R"(["/health"])"},
             {R"("max_conns":64)", R"("max_conns":"64")"},
             {R"("max_conns":64)", R"("max_conns":6.5)"},
             {R"("max_conns":64)", R"("max_conns":-1)"},
             {R"("h1")", "1"},
             {R"("tls":false)", R"("tls":"false")"},
             {R"("tls":false)", R"("tls":0)"},
             {R"("priority":0)", R"("priority":-1)"},
             {R"("max_attempts":4)", R"("max_attempts":-4)"},
             {limits, R"("limits":"x"})"},
             {limits, R"("limits":[]})"},
             {limits, R"("limits":0})"},
             {R"("max_header_bytes":16384)", R"("max_header_bytes":"16384")"},
             {R"("max_body_bytes":262144)", R"("max_body_bytes":-1)"},
             {R"("header_timeout_ms":3000)", R"("header_timeout_ms":true)"},
             {R"("idle_timeout_ms":15000)", R"("idle_timeout_ms":1.5)"}})
    {
        EXPECT_FALSE(decode_contract_set(config_with(was, with))) << with;
    }
}

// A valid configuration that is refused never comes into force.
TEST(platform_wire, takes_configurations_with_missing_and_new_members)
{
    auto const limits =
        full_config_text.substr(full_config_text.find(",\"limits\""));
    for (auto const& [was, with] :
         std::vector<std::pair<std::string, std::string>>{
             {limits, "}"},
             {limits, R"(,"limits":null})"},
             {limits, R"(,"limits":{}})"},
             {limits, R"(,"limits":{"max_body_bytes":0,"new":"x"}})"},
             {R"("kind":"non_idempotent",)", ""},
             {R"("non_idempotent")", R"("a_new_kind")"},
             {R"("health_path":"/health","max_conns":64,)", ""},
             {R"("protocol":"h1","tls":false,)", R"("protocol":"h2",)"},
             {R"("tls":false)", R"("tls":true,"new":[{"x":null}])"},
             {R"("stretch":2.0)", R"("stretch":2)"},
             {R"("version":7,)", R"("version":7,"new":{"a":-1.5},)"}})
    {
        auto const text = config_with(was, with);
        auto const it = decode_contract_set(text);
        ASSERT_TRUE(it) << with << ": " << it.error().detail;
        EXPECT_TRUE(check(it.value()));
        EXPECT_EQ(it.value().document, text);
    }
}

// Fields that are left out mean 0, false or empty.
TEST(platform_wire, reads_a_job)
{
    auto const it = decode_workflow(
        R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
        R"("data_rack":"r1"},{"count":2,"depends_on":[0],"gang":true,)"
        R"("checkpointing":true,"anti_affinity":1}]})");
    ASSERT_TRUE(it) << it.error().detail;
    auto const& steps = it.value().steps;
    EXPECT_EQ(steps.at(0).each.cores, millicores{500});
    EXPECT_EQ(steps.at(0).each.memory, byte_count{256 << 20});
    EXPECT_EQ(steps.at(0).data_rack, rack_id{"r1"});
    EXPECT_FALSE(steps.at(0).gang);
    EXPECT_EQ(steps.at(1).prerequisites.at(0), step_index{0});
    EXPECT_TRUE(steps.at(1).gang);
    EXPECT_TRUE(steps.at(1).checkpoints);
    EXPECT_EQ(steps.at(1).max_per_worker, task_count{1});
}

// A heartbeat of another writer must name no worker to use.
TEST(platform_wire, refuses_heartbeats_of_another_writer)
{
    auto const read = [](std::string const& text)
    { return decode_announcement(worker_id{"i"}, text); };
    auto const text = std::string{
        R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
        R"("state":"draining","seq":4,"born":99,"clock_ms":5,)"
        R"("cold_remaining_ms":1500,)"
        R"("labels":["a","r1"],"capacity":{"cpu":16000,"mem_mb":1}})"};
    auto const it = read(text);
    ASSERT_TRUE(it) << it.error().detail;
    EXPECT_EQ(it.value().phase, worker_phase::draining);
    EXPECT_EQ(it.value().instance.incarnation, worker_incarnation{99});
    EXPECT_EQ(it.value().rack, rack_id{"r1"});
    EXPECT_EQ(it.value().warm_up, milliseconds{1500});
    EXPECT_EQ(it.value().capacity.cores, millicores{16000});
    for (auto const* bad :
         {"", "{}", "\xff\xfe",
          R"({"service":1,"address":"a:1","state":"ready",)"
          R"("seq":1,"capacity":{}})",
          R"({"service":"s","address":"a:1","state":"gone","seq":1,)"
          R"("capacity":{}})",
          R"({"service":"s","address":"a:1","state":"ready","seq":1.5,)"
          R"("capacity":{}})"})
    {
        EXPECT_FALSE(read(bad)) << bad;
    }
}

// The name of a task has to come back as it was sent; a task that is not
// recognised would be stopped as a stray.
TEST(platform_wire, names_tasks_both_ways)
{
    workflow_task const task{workflow_id{"5c0e.7a"}, occurrence_index{1},
                             step_index{2}, task_index{17}};
    EXPECT_EQ(encode_task(task), "5c0e.7a.1.2.17");
    EXPECT_EQ(decode_task("5c0e.7a.1.2.17").value(), task);
    for (auto const* bad : {"", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.-3"})
    {
        EXPECT_FALSE(decode_task(bad)) << bad;
    }
}

// Lists that can be read in part only prove nothing: a run that seems absent
// would be started again.
TEST(platform_wire, takes_lists_whole_or_not_at_all)
{
    auto const whole = std::string{
        R"({"clock_ms":7,"born":3,"running":[["a.0.0.1",2,"cp",41,9]],)"
        R"("finished":[[58,"a.0.0.2",1,"done",""]]})"};
    auto const it = run_codec::decode_poll(json_answer(200, whole));
    ASSERT_EQ(it.outcome, order_outcome::done);
    EXPECT_EQ(it.lists.running.at(0).load, 9);
    EXPECT_EQ(it.lists.ended.at(0).number, end_number{58});
    EXPECT_EQ(it.lists.ended.at(0).run.outcome, run_end::finished);
    for (auto const* bad :
         {R"({"clock_ms":7,"running":[["a.0.0.1"]],"finished":[]})",
          R"({"clock_ms":7,"running":[]})",
          R"({"clock_ms":7,"running":[],"finished":[[1,"a.0.0.1",1,"?",""]]})",
          "{"})
    {
        EXPECT_EQ(run_codec::decode_poll(json_answer(200, bad)).outcome,
                  order_outcome::no_answer)
            << bad;
    }
}

// An outcome that is unknown must not be told as a refusal: the work may run.
TEST(platform_wire, tells_unknown_outcomes_from_refusals)
{
    auto const status = [](error_kind kind) {
        return static_cast<int>(refusal_answer({kind, ""}).status);
    };
    EXPECT_EQ(status(error_kind::no_leader), 504);
    EXPECT_EQ(status(error_kind::not_leader), 503);
    EXPECT_EQ(status(error_kind::no_contracts), 503);
    EXPECT_EQ(status(error_kind::overloaded), 503);
    EXPECT_EQ(refusal_answer({error_kind::overloaded, ""}).headers.back().name,
              "Retry-After");
    EXPECT_EQ(status(error_kind::unknown_queue), 404);
    EXPECT_EQ(status(error_kind::unknown_workflow), 410);
    auto const outcome = [](int code, std::string const& body)
    { return run_codec::decode_order(json_answer(code, body)).outcome; };
    EXPECT_EQ(outcome(409, R"({"reason":"fence"})"), order_outcome::fenced);
    EXPECT_EQ(outcome(409, R"({"reason":"room"})"),
              order_outcome::insufficient_capacity);
    EXPECT_EQ(outcome(421, ""), order_outcome::other_incarnation);
    EXPECT_EQ(outcome(500, ""), order_outcome::no_answer);
}

} // namespace
} // namespace apricotlb::platform
