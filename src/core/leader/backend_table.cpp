#include "core/leader/backend_table.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

backend_table::backend_table(term leader_term, time_point elected)
    : term_(leader_term), complete_at_(elected + config::announce_lifetime)
{
}

auto backend_table::record_announcement(
    backend_announcement const& announcement, time_point now) -> announce_effect
{
    update_completeness(now);
    auto& row = rows_[announcement.info.id];
    if (row.has_left && now < row.expires_at)
    {
        return announce_effect::ignored;
    }
    row.has_left = announcement.leaving;
    row.expires_at = now + config::announce_lifetime;
    expiries_.emplace_back(row.expires_at, announcement.info.id);
    if (announcement.leaving)
    {
        row.info = announcement.info;
        remove(row);
        return announce_effect::left;
    }
    if (row.present && row.info == announcement.info)
    {
        return announce_effect::renewed;
    }
    row.info = announcement.info;
    if (!row.present)
    {
        row.present = true;
        ++present_count_;
    }
    assign_revision(row);
    return announce_effect::updated;
}

auto backend_table::expire(time_point now) -> std::vector<backend_id>
{
    update_completeness(now);
    std::vector<backend_id> expired;
    while (!expiries_.empty() && expiries_.front().first <= now)
    {
        auto const id = expiries_.front().second;
        expiries_.pop_front();
        auto const found = rows_.find(id);
        // A later announcement has added a later expiry to the queue.
        if (found == rows_.end() || found->second.expires_at > now)
        {
            continue;
        }
        found->second.has_left = false;
        if (found->second.present)
        {
            expired.push_back(id);
            remove(found->second);
        }
    }
    prune_tombstones();
    return expired;
}

auto backend_table::update_completeness(time_point now) -> void
{
    if (!was_complete_ && is_complete(now))
    {
        was_complete_ = true;
        full_table_below_ = ++newest_;
    }
}

auto backend_table::assign_revision(table_row& row) -> void
{
    by_revision_.erase(row.changed_at);
    row.changed_at = ++newest_;
    by_revision_.emplace(row.changed_at, row.info.id);
}

auto backend_table::remove(table_row& row) -> void
{
    if (row.present)
    {
        row.present = false;
        --present_count_;
    }
    assign_revision(row);
    tombstones_.emplace_back(row.changed_at, row.info.id);
}

auto backend_table::prune_tombstones() -> void
{
    while (tombstones_.size() > max_tombstones)
    {
        auto const [removed_at, id] = tombstones_.front();
        tombstones_.pop_front();
        auto const found = rows_.find(id);
        if (found == rows_.end() || found->second.changed_at != removed_at)
        {
            continue; // announced or removed again since
        }
        if (found->second.has_left)
        {
            // The row is still needed to ignore announcements.
            tombstones_.emplace_front(removed_at, id);
            return;
        }
        full_table_below_ = removed_at;
        by_revision_.erase(removed_at);
        rows_.erase(found);
    }
}

auto backend_table::changes_since(term known_term, revision since,
                                  time_point now) -> backend_delta
{
    update_completeness(now);
    backend_delta delta;
    delta.to = newest_;
    delta.complete = is_complete(now);
    auto const is_full =
        known_term != term_ || since < full_table_below_ || since > newest_;
    delta.from = is_full ? revision{0} : since;
    for (auto it = by_revision_.upper_bound(delta.from);
         it != by_revision_.end(); ++it)
    {
        auto const& row = rows_.at(it->second);
        if (row.present || !is_full)
        {
            delta.changes.push_back({row.info, !row.present});
        }
    }
    return delta;
}

auto backend_table::keep_until(time_point end) -> void
{
    for (auto& [id, row] : rows_)
    {
        if (row.present && row.expires_at < end)
        {
            row.expires_at = end;
            expiries_.emplace_back(end, id);
        }
    }
    if (!was_complete_)
    {
        complete_at_ = std::max(complete_at_, end);
    }
}

auto backend_table::is_complete(time_point now) const -> bool
{
    return now >= complete_at_;
}

auto backend_table::all() const -> std::vector<backend_info>
{
    std::vector<backend_info> out;
    for (auto const& [id, it] : rows_)
    {
        if (it.present)
        {
            out.push_back(it.info);
        }
    }
    return out;
}

auto backend_table::find(backend_id const& id) const -> backend_info const*
{
    auto const it = rows_.find(id);
    return it == rows_.end() || !it->second.present ? nullptr
                                                    : &it->second.info;
}

} // namespace apricotlb
