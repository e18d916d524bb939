#include "adapters/disk_format.hpp"

#include "adapters/msgpack_codec.hpp"

#include <xxhash.h>

#include <optional>
#include <utility>

namespace apricotlb::disk_format
{

namespace
{

constexpr std::uint32_t magic = 0x4c504131; // "1APL"
constexpr std::size_t frame_header_size = 24;
constexpr std::size_t record_header_size = 5;

template <class T>
auto put(std::string& to, T value) -> void
{
    for (std::size_t n = 0; n < sizeof(T); ++n)
    {
        to.push_back(static_cast<char>((value >> (8 * n)) & 0xff));
    }
}

template <class T>
auto get(std::string_view from, std::size_t offset) -> T
{
    T value{0};
    for (std::size_t n = 0; n < sizeof(T); ++n)
    {
        value |= static_cast<T>(
            static_cast<T>(static_cast<unsigned char>(from[offset + n]))
            << (8 * n));
    }
    return value;
}

auto checksum(frame_kind kind, segment_number number, std::size_t offset,
              std::string_view payload) -> std::uint64_t
{
    std::string prefix;
    put(prefix, static_cast<std::uint32_t>(kind));
    put(prefix, std::uint64_t{payload.size()});
    put(prefix, number.value());
    put(prefix, std::uint64_t{offset});
    auto const seed = XXH3_64bits(prefix.data(), prefix.size());
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

/// The payload of the frame at the offset, if there is a sound one.
auto frame_at(frame_kind kind, segment_number number, std::string_view file,
              std::size_t offset) -> std::optional<std::string_view>
{
    if (file.size() - offset < frame_header_size ||
        get<std::uint32_t>(file, offset) != magic ||
        get<std::uint32_t>(file, offset + 4) !=
            static_cast<std::uint32_t>(kind))
    {
        return std::nullopt;
    }
    auto const length = get<std::uint64_t>(file, offset + 8);
    if (length > file.size() - offset - frame_header_size)
    {
        return std::nullopt;
    }
    auto const payload = file.substr(offset + frame_header_size,
                                     static_cast<std::size_t>(length));
    if (get<std::uint64_t>(file, offset + 16) !=
        checksum(kind, number, offset, payload))
    {
        return std::nullopt;
    }
    return payload;
}

template <class T>
auto add(std::string& payload, std::uint8_t index, T const& it) -> void
{
    auto const bytes = msgpack_codec::encode(it);
    payload.push_back(static_cast<char>(index));
    put(payload, static_cast<std::uint32_t>(bytes.size()));
    payload += bytes;
}

template <class T>
auto read_as(std::string_view bytes, std::vector<record>& out) -> result<void>
{
    BOOST_OUTCOME_TRY(value, msgpack_codec::decode<T>(bytes));
    out.emplace_back(std::move(value));
    return outcome::success();
}

} // namespace

auto add_record(std::string& payload, segment_header const& it) -> void
{
    add(payload, 0, it);
}

auto add_record(std::string& payload, hard_state const& it) -> void
{
    add(payload, 1, it);
}

auto add_record(std::string& payload, log_entry const& it) -> void
{
    add(payload, 2, it);
}

auto read_records(std::string_view payload) -> result<std::vector<record>>
{
    std::vector<record> out;
    while (!payload.empty())
    {
        if (payload.size() < record_header_size)
        {
            return fail(error_kind::log_damaged, "record without a header");
        }
        auto const index = static_cast<std::uint8_t>(payload[0]);
        auto const size = get<std::uint32_t>(payload, 1);
        if (size > payload.size() - record_header_size)
        {
            return fail(error_kind::log_damaged, "record beyond its frame");
        }
        auto const bytes = payload.substr(record_header_size, size);
        auto const read = index == 0   ? read_as<segment_header>(bytes, out)
                          : index == 1 ? read_as<hard_state>(bytes, out)
                                       : read_as<log_entry>(bytes, out);
        if (!read || index > 2)
        {
            return fail(error_kind::log_damaged,
                        "record of an unknown structure");
        }
        payload.remove_prefix(record_header_size + size);
    }
    return out;
}

auto make_frame(frame_kind kind, segment_number number, std::size_t offset,
                std::string_view payload) -> std::string
{
    std::string out;
    out.reserve(frame_header_size + payload.size());
    put(out, magic);
    put(out, static_cast<std::uint32_t>(kind));
    put(out, std::uint64_t{payload.size()});
    put(out, checksum(kind, number, offset, payload));
    out += payload;
    return out;
}

auto scan(frame_kind kind, segment_number number, std::string_view file)
    -> result<scanned>
{
    scanned out;
    while (out.end < file.size())
    {
        auto const payload = frame_at(kind, number, file, out.end);
        if (!payload)
        {
            out.torn = true;
            break;
        }
        out.payloads.push_back(*payload);
        out.end += frame_header_size + payload->size();
    }
    std::string mark;
    put(mark, magic);
    for (auto it = file.find(mark, out.end + 1);
         out.torn && it != std::string_view::npos; it = file.find(mark, it + 1))
    {
        if (frame_at(kind, number, file, it))
        {
            return fail(error_kind::log_damaged,
                        "damaged record at offset " + std::to_string(out.end) +
                            " before a sound one at offset " +
                            std::to_string(it));
        }
    }
    return out;
}

auto make_snapshot(raft_snapshot const& it) -> std::string
{
    auto const info = msgpack_codec::encode(it.info);
    std::string payload;
    payload.reserve(info.size() + it.data.size() + 4);
    put(payload, static_cast<std::uint32_t>(info.size()));
    payload += info;
    payload += it.data;
    return make_frame(frame_kind::snapshot, {}, 0, payload);
}

auto read_snapshot(std::string_view file) -> result<raft_snapshot>
{
    auto const payload = frame_at(frame_kind::snapshot, {}, file, 0);
    if (!payload || payload->size() < 4)
    {
        return fail(error_kind::log_damaged, "the snapshot is damaged");
    }
    auto const size = get<std::uint32_t>(*payload, 0);
    if (size > payload->size() - 4)
    {
        return fail(error_kind::log_damaged, "the snapshot is damaged");
    }
    auto info = msgpack_codec::decode<snapshot_info>(payload->substr(4, size));
    if (!info)
    {
        return fail(error_kind::log_damaged,
                    "the snapshot is of an unknown structure");
    }
    return raft_snapshot{std::move(info).value(),
                         std::string{payload->substr(4 + size)}};
}

} // namespace apricotlb::disk_format
