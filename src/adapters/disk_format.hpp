/// Format of the log's files: frames with a checksum.
///
/// Everything that one sync makes durable is one frame, so that only the last
/// frame of a file can be torn by a crash. A frame is: magic (4 bytes), kind
/// (4), length (8), checksum (8), payload; numbers are little-endian. The
/// checksum covers kind, length and payload and is seeded by the file's
/// number and the frame's offset, so that bytes of a frame inside a payload or
/// in a reused block are not taken for one.
#ifndef APRICOTLB_ADAPTERS_DISK_FORMAT_HPP
#define APRICOTLB_ADAPTERS_DISK_FORMAT_HPP

#include "core/log/raft_messages.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/strong.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace apricotlb::disk_format
{

/// Numbers the segments of a folder in order of creation.
using segment_number = quantity<struct segment_number_tag, std::uint64_t>;

enum class frame_kind : std::uint32_t
{
    records = 1,
    snapshot = 2,
};

/// First record of each segment.
struct segment_header
{
    std::uint32_t version{1};
    segment_number number;
    hard_state term_and_vote;
    log_position base; ///< last position before the segment
    bool reset{false}; ///< drops everything in earlier segments

    auto operator==(segment_header const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("version", &segment_header::version),
                          field("number", &segment_header::number),
                          field("hard", &segment_header::term_and_vote),
                          field("base", &segment_header::base),
                          field("reset", &segment_header::reset));
    }
};

using record = std::variant<segment_header, hard_state, log_entry>;

/// Appends one record to the payload of a frame.
auto add_record(std::string& payload, segment_header const& it) -> void;
auto add_record(std::string& payload, hard_state const& it) -> void;
auto add_record(std::string& payload, log_entry const& it) -> void;

/// The records of a payload, or log_damaged.
[[nodiscard]] auto read_records(std::string_view payload)
    -> result<std::vector<record>>;

[[nodiscard]] auto make_frame(frame_kind kind, segment_number number,
                              std::size_t offset, std::string_view payload)
    -> std::string;

/// The sound frames at the start of a file.
struct scanned
{
    std::vector<std::string_view> payloads;
    std::size_t end{0}; ///< behind the last sound frame
    bool torn{false};   ///< something follows that is not a frame
};

/// Reads the frames of a file, or log_damaged when a sound frame follows a
/// damaged one: no crash leaves that behind.
[[nodiscard]] auto scan(frame_kind kind, segment_number number,
                        std::string_view file) -> result<scanned>;

/// A whole snapshot file.
[[nodiscard]] auto make_snapshot(raft_snapshot const& it) -> std::string;
[[nodiscard]] auto read_snapshot(std::string_view file)
    -> result<raft_snapshot>;

} // namespace apricotlb::disk_format

#endif
