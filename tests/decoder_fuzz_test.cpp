#include "adapters/json_codec.hpp"
#include "adapters/msgpack_codec.hpp"
#include "app/group_discovery.hpp"
#include "core/fleet/contact_messages.hpp"
#include "core/group/socket_address.hpp"
#include "core/random.hpp"
#include "fake_fleet.hpp"
#include "platform/answers.hpp"
#include "platform/run_codec.hpp"
#include "platform/wire.hpp"

#include <apricotlb/config.hpp>

#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{
namespace
{

auto const heartbeat_text = std::string{
    R"({"service":"pool","address":"10.0.0.9:80","zone":"z1",)"
    R"("state":"ready","seq":4,"born":1,"clock_ms":5,)"
    R"("labels":["a","r1"],"capacity":{"cpu":16000,"mem_mb":64000,"gpu":0}})"};

auto const lists_text = std::string{
    R"({"clock_ms":7,"born":1,"running":[["j.0.0.0",1,"cp",41,9],)"
    R"(["j.0.0.1",1,"",41,9]],"finished":[[1,"j.0.0.2",1,"done",""],)"
    R"([2,"j.0.0.3",1,"failed","c"]]})"};

auto const config_text = std::string{
    R"({"version":7,"routes":[{"name":"r","host":"h.example",)"
    R"("path_prefix":"/q/","timeout_ms":3000,"target_duration_ms":300,)"
    R"("priority":2,"service":"s","max_attempts":4,"stretch":1.5}],)"
    R"("services":[{"name":"s","rejects_overload":true}]})"};

auto const job_text = std::string{
    R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,)"
    R"("estimate_ms":900,"target_ms":70},{"count":2,"depends_on":[0],)"
    R"("anti_affinity":1}],"repeat_count":2,"first_run_ms":5,)"
    R"("interval_ms":9})"};

auto replaced(std::string text, std::string_view from, std::string_view to)
    -> std::string
{
    auto const at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

auto nested(std::size_t depth) -> std::string
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Changes some bytes or numbers of a text, or inserts an odd value.
class mutator
{
public:
    explicit mutator(std::uint64_t seed) : random_(seed) {}

    auto below(std::size_t n) -> std::size_t
    {
        return next_random(random_) % n;
    }

    auto mutate(std::string text) -> std::string
    {
        for (auto n = 1 + below(3); n > 0 && !text.empty(); --n)
        {
            change(text);
        }
        return text;
    }

private:
    auto change(std::string& text) -> void
    {
        static std::array<std::string, 16> const odd_values{
            "-1",
            "0",
            "4294967296",
            "4294967297",
            "9007199254740993",
            "9223372036854775807",
            "-9223372036854775808",
            "18446744073709551615",
            "18446744073709551616",
            "1e999",
            "1e300",
            "null",
            "\"10.0.0.1:99999\"",
            "\"\\u0000\"",
            nested(12),
            nested(1000)};
        auto const at = below(text.size());
        switch (below(5))
        {
        case 0:
            text[at] = static_cast<char>(below(256));
            return;
        case 1:
            text.erase(at, 1 + below(4));
            return;
        case 2:
            text.insert(at, text.substr(at, 1 + below(20)));
            return;
        default:
            replace_value(text, at, odd_values.at(below(odd_values.size())));
        }
    }

    /// Replaces the first number or string after `at`.
    static auto replace_value(std::string& text, std::size_t at,
                              std::string const& value) -> void
    {
        auto const begin = text.find_first_of("0123456789\"", at);
        if (begin == std::string::npos)
        {
            return;
        }
        auto const end = text[begin] == '"'
                             ? text.find('"', begin + 1)
                             : text.find_first_not_of("0123456789.", begin);
        auto const length =
            end == std::string::npos ? text.size() - begin : end - begin;
        text.replace(begin, length + (text[begin] == '"' ? 1 : 0), value);
    }

    std::uint64_t random_;
};

auto decode_heartbeat(std::string const& text) -> result<worker_announcement>
{
    return platform::decode_announcement(worker_id{"i"}, text);
}

/// Submits work; true if it is done within the time.
auto completes_work(fake_fleet& fleet, seconds time) -> bool
{
    fleet.submit("later", {fake_fleet::step(8)});
    for (auto n = seconds{0}; n < time && fleet.live_workflows() > 0; ++n)
    {
        fleet.run(seconds{1});
    }
    return fleet.state_of("later") == workflow_state::completed;
}

// An order to an address that is none would end in the client library, or go to
// another host.
TEST(decoder_fuzz, refuses_addresses_that_are_none)
{
    for (auto const* good : {"10.0.0.1:80", "10.0.0.1:65535", "[::1]:80",
                             "[fe80::1.2.3.4]:1", "w1:1", "a-b.example:8080"})
    {
        EXPECT_TRUE(is_socket_address(good)) << good;
        EXPECT_TRUE(
            decode_heartbeat(replaced(heartbeat_text, "10.0.0.9:80", good)))
            << good;
    }
    for (auto const* bad : {"10.0.0.1:99999",
                            "10.0.0.1:65536",
                            "10.0.0.1:0",
                            "10.0.0.1:-1",
                            "10.0.0.1:",
                            "10.0.0.1:8x",
                            "10.0.0.1",
                            "host",
                            ":0",
                            ":80",
                            "[::1",
                            "[::1]",
                            "[]:80",
                            "[1]:80",
                            "256.0.0.1:80",
                            "1.2.3:80",
                            "1:80",
                            "a b:80",
                            " a:80",
                            "a:80/x",
                            "a/x:80",
                            "u@a:80",
                            "a?b:80",
                            "a..b:80",
                            "a\\n:80",
                            "a\\u0000:80",
                            "",
                            "::1:80",
                            "tcp://a:80",
                            "a:+80",
                            "a:18446744073709551697"})
    {
        EXPECT_FALSE(
            decode_heartbeat(replaced(heartbeat_text, "10.0.0.9:80", bad)))
            << bad;
        EXPECT_FALSE(is_socket_address(bad)) << bad;
    }
}

// A port past the last one would be cut to another one.
TEST(decoder_fuzz, counts_no_further_than_the_last_port)
{
    EXPECT_EQ(with_port_offset("tcp://10.0.0.1:65534", 1),
              "tcp://10.0.0.1:65535");
    EXPECT_FALSE(with_port_offset("tcp://10.0.0.1:65534", 2));
    EXPECT_FALSE(with_port_offset("tcp://10.0.0.1:1", 4'294'967'295U));
    EXPECT_FALSE(with_port_offset("tcp://10.0.0.1:x", 1));
}

// Numbers beyond their range overflow the sums over the fleet, or make all
// later announcements of the worker count as late.
TEST(decoder_fuzz, refuses_announcements_with_numbers_out_of_range)
{
    for (auto const* member :
         {R"("seq":4)", R"("born":1)", R"("clock_ms":5)", R"("cpu":16000)",
          R"("mem_mb":64000)", R"("gpu":0)"})
    {
        std::string const text{member};
        auto const name = text.substr(0, text.find(':') + 1);
        for (auto const* value :
             {"-1", "9223372036854775807", "-9223372036854775808",
              "18446744073709551615", "18446744073709551616", "1e999", "1.5",
              "\"1\"", "[]"})
        {
            EXPECT_FALSE(decode_heartbeat(
                replaced(heartbeat_text, member, name + value)))
                << name << value;
        }
    }
}

// A long announcement would make the message to the leader too large for those
// of the other workers in it.
TEST(decoder_fuzz, refuses_announcements_with_long_texts)
{
    std::string const text(2'000'000, 'x');
    for (auto const* value : {R"("pool")", R"("z1")", R"("r1")"})
    {
        EXPECT_FALSE(decode_heartbeat(
            replaced(heartbeat_text, value, '"' + text + '"')));
    }
    std::string labels{"[\"a\""};
    for (auto n = 0; n < 100'000; ++n)
    {
        labels += ",\"a\"";
    }
    EXPECT_FALSE(decode_heartbeat(
        replaced(heartbeat_text, R"(["a","r1"])", labels + "]")));
    EXPECT_FALSE(platform::decode_worker_id(""));
    EXPECT_FALSE(platform::decode_worker_id("a\r\nb"));
    EXPECT_FALSE(platform::decode_worker_id(text));
    EXPECT_TRUE(platform::decode_worker_id("i-7f3a91c2"));
}

// One announcement of another writer under the id of a worker must not keep the
// scheduler from following that worker.
TEST(decoder_fuzz, follows_a_worker_after_odd_announcements_under_its_id)
{
    for (auto const* change :
         {R"("seq":9223372036854775807)", R"("seq":-1)",
          R"("born":9223372036854775807)", R"("clock_ms":9223372036854775807)"})
    {
        fake_fleet fleet{7};
        fleet.add_worker("w1", 4000);
        ASSERT_TRUE(fleet.run_until_known("w1"));
        std::string const text{change};
        auto const name = text.substr(0, text.find(':') + 1);
        auto const member = name == R"("seq":)"    ? R"("seq":9000)"
                            : name == R"("born":)" ? R"("born":1)"
                                                   : R"("clock_ms":5)";
        auto const newer =
            replaced(heartbeat_text, R"("seq":4)", R"("seq":9000)");
        auto const odd = platform::decode_announcement(
            worker_id{"w1"},
            replaced(replaced(newer, member, change), "10.0.0.9:80", "w1:1"));
        if (odd)
        {
            fleet.leader->on_announcement(odd.value(), fleet.now);
        }
        fleet.run(seconds{5});
        EXPECT_TRUE(completes_work(fleet, seconds{10})) << change;
    }
}

// Whatever another writer announces, the work is done by the other workers.
TEST(decoder_fuzz, places_work_beside_odd_announcements)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        mutator odd{seed};
        fake_fleet fleet{seed};
        fleet.add_worker("w1", 4000);
        fleet.add_worker("w2", 4000);
        ASSERT_TRUE(fleet.run_until_known("w2"));
        auto accepted = 0;
        for (auto n = 0; n < 300; ++n)
        {
            worker_id const id{"odd" + std::to_string(odd.below(40))};
            auto const got =
                platform::decode_announcement(id, odd.mutate(heartbeat_text));
            if (got)
            {
                ++accepted;
                fleet.leader->on_announcement(got.value(), fleet.now);
            }
        }
        EXPECT_GT(accepted, 0);
        EXPECT_TRUE(completes_work(fleet, seconds{30})) << seed;
        EXPECT_GE(fleet.leader->summary(fleet.now).free_cores, 0) << seed;
        EXPECT_TRUE(fleet.violations.empty()) << seed;
    }
}

// A row that names no run of this system must not hide the others.
TEST(decoder_fuzz, reads_the_rows_beside_one_of_another_writer)
{
    for (auto const* odd :
         {"1", "null", "{}", "[]", "[1]", "[[[[[[[[]]]]]]]]",
          R"(["x",1,"",1,1])", R"([1,"x",1,"done",""])", R"(["",1,"",1,1])",
          R"(["j.0.0.4294967296",1,"",1,1])", R"([true,true,true,true,true])"})
    {
        for (auto const* list : {R"("running":[)", R"("finished":[)"})
        {
            auto const got =
                platform::run_codec::decode_poll(platform::json_answer(
                    200,
                    replaced(lists_text, list, std::string{list} + odd + ",")));
            EXPECT_EQ(got.outcome, order_outcome::done) << list << odd;
            EXPECT_EQ(got.lists.running.size(), 2U) << list << odd;
            EXPECT_EQ(got.lists.ended.size(), 2U) << list << odd;
        }
    }
}

// A number that is cut to fewer bits names another run; one far above the
// others would acknowledge ends that have not been listed yet.
TEST(decoder_fuzz, does_not_cut_numbers_of_runs_and_ends)
{
    auto const outcome = [](std::string_view from, std::string_view to)
    {
        return platform::run_codec::decode_poll(
                   platform::json_answer(200, replaced(lists_text, from, to)))
            .outcome;
    };
    EXPECT_EQ(outcome("cp", "cp"), order_outcome::done);
    EXPECT_EQ(outcome(R"("j.0.0.0",1)", R"("j.0.0.0",4294967297)"),
              order_outcome::no_answer);
    EXPECT_EQ(outcome(R"("j.0.0.2",1)", R"("j.0.0.2",4294967297)"),
              order_outcome::no_answer);
    EXPECT_EQ(outcome("[2,", "[9223372036854775807,"),
              order_outcome::no_answer);
    EXPECT_EQ(outcome(R"("clock_ms":7)", R"("clock_ms":9223372036854775807)"),
              order_outcome::no_answer);
    EXPECT_EQ(outcome(R"("born":1)", R"("born":-1)"), order_outcome::no_answer);
}

// Percentages, loads and checkpoints are hints: odd ones are cut or left out.
TEST(decoder_fuzz, bounds_the_measurements_of_runs)
{
    for (auto const* load :
         {"9223372036854775807", "-9223372036854775808", "\"x\"", "1e300"})
    {
        auto const got = platform::run_codec::decode_poll(platform::json_answer(
            200, replaced(lists_text, R"("cp",41,9)",
                          '"' + std::string(5000, 'c') + "\"," + load + "," +
                              load)));
        ASSERT_EQ(got.outcome, order_outcome::done) << load;
        auto const& row = got.lists.running.at(0);
        EXPECT_GE(row.percent, 0);
        EXPECT_LE(row.percent, 100);
        EXPECT_GE(row.load, 0);
        EXPECT_LE(row.load, config::max_reported_load);
        EXPECT_TRUE(row.checkpoint.value().empty());
        held_run held;
        held.latency_target = milliseconds{1};
        held.record_measurement(row.load, time_point{});
        EXPECT_GE(held.latency_ratio, permille{0});
    }
}

// Counts that are cut to fewer bits would turn a limit into another one.
TEST(decoder_fuzz, does_not_cut_numbers_of_contracts_and_jobs)
{
    auto const queue = [](std::string_view from, std::string_view to)
    {
        return platform::decode_contract_set(replaced(config_text, from, to))
            .value()
            .queues.at(0);
    };
    EXPECT_EQ(queue(R"("max_attempts":4)", R"("max_attempts":4294967297)")
                  .max_failures,
              4'294'967'295U);
    EXPECT_EQ(queue(R"("priority":2)", R"("priority":4294967296)").priority,
              queue_priority{2'147'483'647});
    EXPECT_EQ(queue(R"("stretch":1.5)", R"("stretch":1e300)").stretch,
              config::max_stretch);
    EXPECT_EQ(
        queue(R"("timeout_ms":3000)", R"("timeout_ms":9223372036854775807)")
            .timeout,
        config::max_declared_time);
    auto const job = [](std::string_view from, std::string_view to)
    { return platform::decode_workflow(replaced(job_text, from, to)); };
    for (auto const* name : {"\"cpu\":500", "\"mem_mb\":256", "\"gpu\":1"})
    {
        std::string const member{name};
        EXPECT_FALSE(job(member, member.substr(0, member.find(':') + 1) +
                                     "9223372036854775807"))
            << name;
    }
    EXPECT_EQ(job(R"("repeat_count":2)", R"("repeat_count":4294967297)")
                  .value()
                  .repeats.times,
              occurrence_index{4'294'967'295U});
    EXPECT_EQ(job(R"("interval_ms":9)", R"("interval_ms":9223372036854775807)")
                  .value()
                  .repeats.interval,
              config::max_reported_time);
}

// Bytes of another writer must end no process, whichever decoder gets them.
TEST(decoder_fuzz, decodes_any_bytes_without_a_fault)
{
    mutator odd{25};
    auto view_text = std::string{
        R"({"node":"c1:80","peers_at":"tcp://c1:81","members":["c1:80"]})"};
    contact_batch batch;
    batch.announcements.push_back(
        {decode_heartbeat(heartbeat_text).value(), milliseconds{1}});
    batch.contacts.resize(3);
    auto const batch_bytes = msgpack_codec::encode(batch);
    std::size_t read{0};
    for (auto n = 0; n < 1000; ++n)
    {
        read += decode_heartbeat(odd.mutate(heartbeat_text)) ? 1U : 0U;
        auto const contracts =
            platform::decode_contract_set(odd.mutate(config_text));
        read += contracts && check(contracts.value()) ? 1U : 0U;
        auto const job = platform::decode_workflow(odd.mutate(job_text));
        read += job && check(job.value()) ? 1U : 0U;
        read += json_codec::decode<node_view>(odd.mutate(view_text)) ? 1U : 0U;
        read += msgpack_codec::decode<contact_batch>(odd.mutate(batch_bytes))
                    ? 1U
                    : 0U;
        auto const answer = platform::json_answer(200, odd.mutate(lists_text));
        read += platform::run_codec::decode_order(answer).clock ? 1U : 0U;
        auto const lists = platform::run_codec::decode_poll(answer);
        read += lists.outcome == order_outcome::done ? 1U : 0U;
    }
    EXPECT_GT(read, 0U);
}

// A recursive decoder would use up its stack.
TEST(decoder_fuzz, refuses_deep_nesting)
{
    constexpr std::size_t depth = 1'000'000;
    auto const odd = nested(depth);
    EXPECT_FALSE(
        decode_heartbeat(replaced(heartbeat_text, "{", "{\"x\":" + odd + ",")));
    EXPECT_FALSE(platform::decode_contract_set(
        replaced(config_text, "{", "{\"x\":" + odd + ",")));
    EXPECT_FALSE(platform::decode_workflow(
        replaced(job_text, "{", "{\"x\":" + odd + ",")));
    EXPECT_FALSE(json_codec::decode<node_view>(odd));
    EXPECT_EQ(platform::run_codec::decode_poll(
                  platform::json_answer(
                      200, replaced(lists_text, "[[", "[" + odd + ",[")))
                  .outcome,
              order_outcome::no_answer);
    EXPECT_FALSE(
        msgpack_codec::decode<contact_batch>(std::string(depth, '\x91')));
}

// A header that announces many items must not allocate memory for them.
TEST(decoder_fuzz, refuses_messages_that_announce_more_items_than_bytes)
{
    std::string bytes;
    constexpr auto depth = 30;
    for (auto n = 0; n < depth; ++n)
    {
        bytes += std::string{"\xdd\x00\x0f\xff\xff", 5};
    }
    auto const got = msgpack_codec::decode<contact_batch>(bytes);
    ASSERT_TRUE(got.has_error());
    EXPECT_NE(got.error().detail.find("overflow"), std::string::npos)
        << got.error().detail;
}

} // namespace
} // namespace apricotlb
