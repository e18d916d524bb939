/// Structured logs by Boost.Log: one line per event, as text or JSON.
#ifndef APRICOTLB_ADAPTERS_LOG_HPP
#define APRICOTLB_ADAPTERS_LOG_HPP

#include "adapters/line_writer.hpp"
#include "app/settings.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace apricotlb
{

/// One key=value pair of a log line.
struct log_field
{
    std::string_view key;
    std::string value;

    log_field(std::string_view name, std::string_view text)
        : key(name), value(text)
    {
    }
    log_field(std::string_view name, std::string const& text)
        : key(name), value(text)
    {
    }
    log_field(std::string_view name, char const* text) : key(name), value(text)
    {
    }
    template <std::integral Number>
    log_field(std::string_view name, Number n)
        : key(name), value(std::to_string(n))
    {
    }
    /// Any strong id or quantity.
    template <class Strong>
        requires requires(Strong const& it) { it.value(); }
    log_field(std::string_view name, Strong const& it)
        : log_field(name, it.value())
    {
    }
};

using log_time = std::chrono::system_clock::time_point;

/// Where and how log lines are written.
struct log_options
{
    log_level level{log_level::info};
    log_format format{log_format::text};
    std::ostream* out{nullptr};         ///< standard error when none
    std::function<log_time()> now{};    ///< the system clock when none
    std::uint32_t per_event_second{50}; ///< lines of one event per second
    int descriptor{2};                  ///< written to when there is no `out`
};

/// Replaces the process's log options.
auto setup_log(log_options options) -> void;

/// Lines written to the descriptor and dropped since setup_log().
[[nodiscard]] auto log_counts() -> line_counts;

/// True when lines of this level are written; ask before costly fields.
[[nodiscard]] auto is_log_enabled(log_level level) -> bool;

/// Writes the log lines of one component. An event over its rate is dropped
/// and counted; its next line carries the count as "suppressed".
class logger
{
public:
    explicit logger(std::string_view component) : component_(component) {}

    auto debug(std::string_view event, std::vector<log_field> fields = {}) const
        -> void
    {
        write(log_level::debug, event, std::move(fields));
    }
    auto info(std::string_view event, std::vector<log_field> fields = {}) const
        -> void
    {
        write(log_level::info, event, std::move(fields));
    }
    auto warning(std::string_view event,
                 std::vector<log_field> fields = {}) const -> void
    {
        write(log_level::warning, event, std::move(fields));
    }
    auto error(std::string_view event, std::vector<log_field> fields = {}) const
        -> void
    {
        write(log_level::error, event, std::move(fields));
    }

    /// Calls fields() only when the level is enabled.
    template <std::invocable Fields>
    auto lazy(log_level level, std::string_view event, Fields&& fields) const
        -> void
    {
        if (is_log_enabled(level))
        {
            write(level, event, fields());
        }
    }

    auto write(log_level level, std::string_view event,
               std::vector<log_field> fields) const -> void;

private:
    std::string_view component_;
};

} // namespace apricotlb

#endif
