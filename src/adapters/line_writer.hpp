/// Writes lines to a descriptor without ever waiting for its reader.
#ifndef APRICOTLB_ADAPTERS_LINE_WRITER_HPP
#define APRICOTLB_ADAPTERS_LINE_WRITER_HPP

#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace apricotlb
{

/// What has become of the lines since the start.
struct line_counts
{
    std::uint64_t written{0};
    std::uint64_t dropped{0};
    duration time{}; ///< spent on system calls
    duration longest{};
};

/// Keeps lines that the descriptor does not take in a bounded buffer, which the
/// default main context empties once it can be written. From the first line
/// without room until the buffer is empty all lines are dropped, so that they
/// are missing in one place. The flags of the descriptor stay as they are,
/// since other processes may share it.
class line_writer
{
public:
    /// Lines that wait, beside the 64 KiB that a pipe holds.
    static constexpr std::size_t max_waiting_bytes = 65'536;

    /// The descriptor stays open and is not owned.
    explicit line_writer(int fd);
    line_writer(line_writer const&) = delete;
    auto operator=(line_writer const&) -> line_writer& = delete;
    ~line_writer();

    /// Takes one line that ends with a line feed.
    auto write(std::string_view line) -> void;

    /// Called on the loop once the buffer has been emptied.
    auto on_writable(std::function<void()> run) -> void;

    /// Lines dropped since the last call; none until lines are taken again.
    [[nodiscard]] auto take_dropped() -> std::uint64_t;

    [[nodiscard]] auto counts() const -> line_counts;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace apricotlb

#endif
