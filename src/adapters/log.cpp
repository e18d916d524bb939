#include "adapters/log.hpp"

#include "adapters/enum_names.hpp"
#include "adapters/json_codec.hpp"

#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/basic_sink_frontend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/utility/formatting_ostream.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <map>
#include <memory>
#include <ostream>
#include <sstream>
#include <utility>

namespace apricotlb
{

namespace
{

namespace logging = boost::log;
namespace ch = std::chrono;

/// Passes formatted lines on to a stream or to the writer of a descriptor.
class line_backend : public logging::sinks::basic_formatted_sink_backend<
                         char, logging::sinks::synchronized_feeding>
{
public:
    line_backend(std::ostream* out, line_writer* writer)
        : out_(out), writer_(writer)
    {
    }

    auto consume(logging::record_view const& /*record*/,
                 std::string const& text) -> void
    {
        if (out_ != nullptr)
        {
            *out_ << text << std::flush;
            return;
        }
        writer_->write(text);
    }

private:
    std::ostream* out_;
    line_writer* writer_;
};

using sink = logging::sinks::synchronous_sink<line_backend>;

/// One line on its way to the sink.
struct line
{
    log_time at;
    log_level level;
    std::string_view component;
    std::string_view event;
    std::vector<log_field> const* fields;
};

/// Lines of one event within the current second.
struct event_rate
{
    ch::sys_seconds second{};
    std::uint32_t written{0};
    std::uint64_t suppressed{0};
};

/// Events are named in the code; the bound only guards against a caller that
/// puts outside text into a name.
constexpr std::size_t max_events = 1024;

struct state
{
    log_options options;
    std::unique_ptr<line_writer> writer; ///< none with a stream
    boost::shared_ptr<sink> out;
    std::map<std::string, event_rate, std::less<>> rates;
};

auto current() -> state&
{
    static state it;
    return it;
}

auto utc(log_time at) -> std::string
{
    auto const day = ch::floor<ch::days>(at);
    ch::year_month_day const date{day};
    ch::hh_mm_ss const time{ch::floor<milliseconds>(at - day)};
    std::ostringstream out;
    out << std::setfill('0') << std::setw(4) << int(date.year()) << '-'
        << std::setw(2) << unsigned(date.month()) << '-' << std::setw(2)
        << unsigned(date.day()) << 'T' << std::setw(2) << time.hours().count()
        << ':' << std::setw(2) << time.minutes().count() << ':' << std::setw(2)
        << time.seconds().count() << '.' << std::setw(3)
        << time.subseconds().count() << 'Z';
    return out.str();
}

/// Quoted when it holds anything that would make the line ambiguous.
auto plain_or_quoted(std::string const& it) -> std::string
{
    auto const is_plain = [](char c)
    { return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\'; };
    if (!it.empty() && std::ranges::all_of(it, is_plain))
    {
        return it;
    }
    return print_json({it});
}

auto format_text(logging::formatting_ostream& out, line const& it) -> void
{
    out << utc(it.at) << ' ' << enum_name(it.level) << ' ' << it.component
        << ' ' << it.event;
    for (auto const& f : *it.fields)
    {
        out << ' ' << f.key << '=' << plain_or_quoted(f.value);
    }
}

auto format_json(logging::formatting_ostream& out, line const& it) -> void
{
    json_value::object members{
        {"time", {utc(it.at)}},
        {"level", {std::string{enum_name(it.level)}}},
        {"component", {std::string{it.component}}},
        {"event", {std::string{it.event}}},
    };
    for (auto const& f : *it.fields)
    {
        members.push_back({std::string{f.key}, {f.value}});
    }
    out << print_json({std::move(members)});
}

auto format(logging::record_view const& record,
            logging::formatting_ostream& out) -> void
{
    auto const it = logging::extract<line>("Line", record);
    if (!it)
    {
        return;
    }
    if (current().options.format == log_format::json)
    {
        format_json(out, *it);
    }
    else
    {
        format_text(out, *it);
    }
    out << '\n';
}

/// Counts the line; false when the event is over its rate. On success, what
/// was suppressed before is handed over.
auto admit(state& it, std::string_view event, log_time at,
           std::uint64_t& suppressed) -> bool
{
    auto found = it.rates.find(event);
    if (found == it.rates.end())
    {
        if (it.rates.size() >= max_events)
        {
            event = "other";
        }
        found = it.rates.try_emplace(std::string{event}).first;
    }
    auto& rate = found->second;
    if (auto const second = ch::floor<seconds>(at); second != rate.second)
    {
        rate.second = second;
        rate.written = 0;
    }
    if (rate.written >= it.options.per_event_second)
    {
        ++rate.suppressed;
        return false;
    }
    ++rate.written;
    suppressed = std::exchange(rate.suppressed, 0);
    return true;
}

auto push(line const& it) -> void
{
    logging::sources::logger source;
    auto record = source.open_record();
    if (record)
    {
        record.attribute_values().insert(
            "Line", logging::attributes::make_attribute_value(it));
        source.push_record(std::move(record));
    }
}

auto time_of(state const& it) -> log_time
{
    return it.options.now ? it.options.now() : ch::system_clock::now();
}

/// Says where lines are missing, at any log level.
auto report_dropped(state& it) -> void
{
    auto const n = it.writer ? it.writer->take_dropped() : 0;
    if (n > 0)
    {
        std::vector<log_field> const fields{{"dropped", n}};
        push(
            {time_of(it), log_level::warning, "log", "lines_dropped", &fields});
    }
}

} // namespace

auto setup_log(log_options options) -> void
{
    auto& it = current();
    it.options = std::move(options);
    it.rates.clear();
    if (it.out)
    {
        logging::core::get()->remove_sink(it.out);
    }
    it.writer.reset();
    if (it.options.out == nullptr)
    {
        it.writer = std::make_unique<line_writer>(it.options.descriptor);
        it.writer->on_writable([] { report_dropped(current()); });
    }
    it.out = boost::make_shared<sink>(
        boost::make_shared<line_backend>(it.options.out, it.writer.get()));
    it.out->set_formatter(&format);
    logging::core::get()->add_sink(it.out);
}

auto log_counts() -> line_counts
{
    auto const& it = current();
    return it.writer ? it.writer->counts() : line_counts{};
}

auto is_log_enabled(log_level level) -> bool
{
    return level >= current().options.level;
}

auto logger::write(log_level level, std::string_view event,
                   std::vector<log_field> fields) const -> void
{
    if (!is_log_enabled(level))
    {
        return;
    }
    auto& it = current();
    if (!it.out)
    {
        setup_log(it.options);
    }
    auto const at = time_of(it);
    std::uint64_t suppressed{0};
    if (!admit(it, event, at, suppressed))
    {
        return;
    }
    if (suppressed > 0)
    {
        fields.emplace_back("suppressed", suppressed);
    }
    // A stream that throws must not end the process.
    try
    {
        push({at, level, component_, event, &fields});
        report_dropped(it);
    }
    catch (std::exception const&)
    {
        ++it.rates.try_emplace(std::string{event}).first->second.suppressed;
    }
}

} // namespace apricotlb
