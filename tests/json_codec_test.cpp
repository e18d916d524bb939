#include "adapters/json_codec.hpp"
#include "adapters/log.hpp"
#include "adapters/sha256.hpp"
#include "core/messages.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace apricotlb
{
namespace
{

auto sample_worker() -> worker_info
{
    return {worker_id{"w1"},
            url{"http://127.0.0.1:1"},
            region_id{"r"},
            zone_id{"z"},
            rack_id{"k"},
            {millicores{16'000}, byte_count{60'000'000'000}, accelerators{2}},
            slot_count{8},
            connection_count{64}};
}

static_assert(codec_port<json_codec, worker_info>);

// A value that changes on its way would commit a VM beyond its size.
TEST(json_codec, returns_what_was_encoded)
{
    auto const text = json_codec::encode(sample_worker());
    EXPECT_EQ(json_codec::decode<worker_info>(text).value(), sample_worker());
    backend_info backend;
    backend.id = backend_id{"b"};
    backend.worker = worker_id{"w1"};
    EXPECT_EQ(
        json_codec::decode<backend_info>(json_codec::encode(backend)).value(),
        backend);
    backend.worker.reset();
    EXPECT_EQ(
        json_codec::decode<backend_info>(json_codec::encode(backend)).value(),
        backend);
}

// The library takes a NUL byte for the end of its input, so a text that is no
// JSON would be accepted and returned to its readers.
TEST(json_codec, refuses_a_nul_byte_anywhere)
{
    auto const whole = std::string{R"({"a":[1,"b"]})"};
    ASSERT_TRUE(parse_json(whole));
    for (std::size_t n = 0; n <= whole.size(); ++n)
    {
        auto text = whole;
        text.insert(n, 1, '\0');
        EXPECT_FALSE(parse_json(text)) << "at byte " << n;
        EXPECT_FALSE(parse_json(text + "x")) << "at byte " << n;
    }
}

// A text that is returned with a byte order mark is no JSON to most readers.
TEST(json_codec, refuses_a_byte_order_mark)
{
    EXPECT_TRUE(parse_json(R"({"a":"\ufeff"})"));
    EXPECT_FALSE(parse_json("\xEF\xBB\xBF{}"));
}

// A key without its unit would be read in another unit by a worker.
TEST(json_codec, puts_units_into_keys_and_enums_by_name)
{
    worker_report_answer answer;
    answer.lease = milliseconds{10'000};
    EXPECT_NE(json_codec::encode(answer).find("\"lease_ms\":10000"),
              std::string::npos);
    ended_report ended;
    ended.how = attempt_end::checkpointed;
    EXPECT_NE(json_codec::encode(ended).find("\"how\":\"checkpointed\""),
              std::string::npos);
}

// A cut or altered body must be refused and must not end the process.
TEST(json_codec, refuses_every_cut_body)
{
    auto const text = json_codec::encode(sample_worker());
    for (std::size_t n = 0; n < text.size(); ++n)
    {
        EXPECT_TRUE(
            json_codec::decode<worker_info>(text.substr(0, n)).has_error());
    }
}

// Each fault must be named, so that the sender can mend it.
TEST(json_codec, names_the_key_of_each_fault)
{
    auto const detail =
        [](std::string text, std::string const& from, std::string const& to)
    {
        text.replace(text.find(from), from.size(), to);
        auto const it = json_codec::decode<worker_info>(text);
        return it.has_error() ? it.error().detail : std::string{};
    };
    auto const text = json_codec::encode(sample_worker());
    EXPECT_NE(detail(text, "\"zone\"", "\"zon\"").find("body.zone"),
              std::string::npos);
    EXPECT_NE(detail(text, "\"slots\":8", "\"slots\":8,\"x\":1").find("body.x"),
              std::string::npos);
    EXPECT_NE(
        detail(text, "\"slots\":8", "\"slots\":3000000000").find("body.slots"),
        std::string::npos);
    EXPECT_NE(detail(text, "\"slots\":8", "\"slots\":8.5").find("body.slots"),
              std::string::npos);
    EXPECT_NE(detail(text, "\"slots\":8", "\"slots\":8,\"slots\":9")
                  .find("duplicate key"),
              std::string::npos);
    EXPECT_NE(detail(text, "\"id\":\"w1\"", "\"id\":7").find("body.id"),
              std::string::npos);
}

// Nesting without a bound would exhaust the stack.
TEST(json_codec, refuses_deep_and_long_bodies)
{
    EXPECT_TRUE(parse_json(std::string(100'000, '[')).has_error());
    EXPECT_EQ(parse_json(std::string(max_json_bytes + 1, ' ')).error().kind,
              error_kind::body_too_large);
    EXPECT_TRUE(parse_json("\"\xff\"").has_error());
    EXPECT_TRUE(
        json_codec::decode<attempt_report>("{\"age_ms\":1e400}").has_error());
}

// A caller that cannot read `ran` cannot know whether to resend.
TEST(problem_body, keeps_kind_ran_and_retry)
{
    auto sent = problem_of({error_kind::backend_timeout, "no \"answer\""});
    sent.ran = work_ran::no;
    auto const text = encode_problem(sent);
    EXPECT_NE(text.find("\"status\":504"), std::string::npos);
    auto const got = decode_problem(text);
    ASSERT_TRUE(got.has_value());
    EXPECT_EQ(got.value().what, sent.what);
    EXPECT_EQ(got.value().ran, work_ran::no);
    EXPECT_EQ(got.value().retry, retry_advice::never);
    EXPECT_TRUE(decode_problem("{}").has_error());
}

// Known answers: a change of the hash would lock every caller out.
TEST(sha256, matches_the_published_values)
{
    EXPECT_EQ(sha256_hex("abc"), "ba7816bf8f01cfea414140de5dae2223"
                                 "b00361a396177a9cb410ff61f20015ad");
    auto const mac =
        hmac_sha256(shared_key{"Jefe"}, "what do ya want for nothing?");
    EXPECT_EQ(mac[0], 0x5b);
    EXPECT_EQ(mac[31], 0x43);
    EXPECT_TRUE(equal_constant_time("abc", "abc"));
    EXPECT_FALSE(equal_constant_time("abc", "abd"));
    EXPECT_FALSE(equal_constant_time("abc", "ab"));
}

class log_test : public testing::Test
{
protected:
    auto start(log_format format, std::uint32_t rate = 50) -> void
    {
        setup_log({log_level::info, format, &out, [this] { return at; }, rate});
    }
    ~log_test() override { setup_log({}); }

    std::ostringstream out;
    log_time at{std::chrono::seconds{86'400}};
    logger log{"entry"};
};

// Text from outside must not be able to add fields or lines.
TEST_F(log_test, quotes_values_from_outside)
{
    start(log_format::text);
    log.info("refused", {{"path", "a b\nlevel=error"}, {"n", 3}});
    log.debug("hidden");
    EXPECT_EQ(out.str(), "1970-01-02T00:00:00.000Z info entry refused "
                         "path=\"a b\\nlevel=error\" n=3\n");
}

TEST_F(log_test, writes_lines_that_parse_as_json)
{
    start(log_format::json);
    log.warning("refused", {{"customer", customer_id{"a\"b"}}});
    auto const line = parse_json(out.str());
    ASSERT_TRUE(line.has_value());
    EXPECT_EQ(*line.value().find("customer")->get<std::string>(), "a\"b");
}

// A flood of one event must not fill the disk; the loss must show.
TEST_F(log_test, limits_the_rate_per_event_and_counts_the_rest)
{
    start(log_format::text, 2);
    for (auto n = 0; n < 10; ++n)
    {
        log.info("refused");
    }
    log.info("other_event");
    at += std::chrono::seconds{1};
    log.info("refused");
    auto const text = out.str();
    EXPECT_EQ(std::ranges::count(text, '\n'), 4);
    EXPECT_NE(text.find("refused suppressed=8\n"), std::string::npos);
}

} // namespace
} // namespace apricotlb
