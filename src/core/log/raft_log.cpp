#include "core/log/raft_log.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace apricotlb
{

namespace
{

/// Approximate encoded size of an entry in bytes, without its payload.
constexpr std::size_t entry_overhead_bytes = 32;

} // namespace

raft_log::raft_log(log_position base, raft_members members)
    : base_(base), members_{{base.index, std::move(members)}}
{
}

auto raft_log::last() const -> log_position
{
    return entries_.empty()
               ? base_
               : log_position{entries_.back().index, entries_.back().in_term};
}

auto raft_log::offset(log_index index) const -> std::size_t
{
    return static_cast<std::size_t>(index.value() - base_.index.value() - 1);
}

auto raft_log::term_at(log_index index) const -> std::optional<term>
{
    if (index == base_.index)
    {
        return base_.in_term;
    }
    if (index < base_.index || index > last().index)
    {
        return std::nullopt;
    }
    return at(index).in_term;
}

auto raft_log::at(log_index index) const -> log_entry const&
{
    return entries_[offset(index)];
}

auto raft_log::slice(log_index first, std::size_t max_bytes) const
    -> std::vector<log_entry>
{
    std::vector<log_entry> out;
    if (first <= base_.index)
    {
        return out;
    }
    std::size_t bytes{0};
    for (auto n = offset(first); n < entries_.size(); ++n)
    {
        bytes += entries_[n].payload.size() + entry_overhead_bytes;
        if (!out.empty() && bytes > max_bytes)
        {
            break;
        }
        out.push_back(entries_[n]);
    }
    return out;
}

auto raft_log::first_index_of_term(log_index index) const -> log_index
{
    auto const in_term = term_at(index);
    while (index > base_.index && term_at(index - log_index{1}) == in_term)
    {
        index -= log_index{1};
    }
    return index;
}

auto raft_log::compaction_point(log_index last) const -> log_index
{
    std::size_t bytes{0};
    auto index = last;
    while (index > base_.index &&
           (last - index).value() < config::log_tail_entries &&
           bytes + at(index).payload.size() <= config::log_tail_bytes)
    {
        bytes += at(index).payload.size();
        index -= log_index{1};
    }
    return index;
}

auto raft_log::push(log_entry entry) -> void
{
    if (entry.kind == entry_kind::membership)
    {
        members_.emplace_back(entry.index, entry.members);
    }
    entries_.push_back(std::move(entry));
}

auto raft_log::truncate(log_index first) -> void
{
    while (members_.size() > 1 && members_.back().first >= first)
    {
        members_.pop_back();
    }
    entries_.resize(offset(first));
}

auto raft_log::compact(log_index last) -> void
{
    if (last <= base_.index)
    {
        return;
    }
    auto const members = members_at(last);
    std::erase_if(members_,
                  [last](auto const& it) { return it.first <= last; });
    members_.insert(members_.begin(), {last, members});
    base_ = {last, at(last).in_term};
    entries_.erase(
        entries_.begin(),
        std::ranges::upper_bound(entries_, last, {}, &log_entry::index));
}

auto raft_log::members() const -> raft_members const&
{
    return members_.back().second;
}

auto raft_log::members_index() const -> log_index
{
    return members_.back().first;
}

auto raft_log::members_at(log_index index) const -> raft_members const&
{
    auto const after = std::ranges::find_if(members_, [index](auto const& each)
                                            { return each.first > index; });
    return after == members_.begin() ? after->second : std::prev(after)->second;
}

} // namespace apricotlb
