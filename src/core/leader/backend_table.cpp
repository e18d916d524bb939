#include "core/leader/backend_table.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

backend_table::backend_table(term leader_term, time_point elected)
    : term_(leader_term), complete_at_(elected + config::announce_lifetime)
{
}

auto backend_table::record_announcement(announce const& it, time_point now)
    -> announce_effect
{
    complete(now);
    auto& row = rows_[it.info.id];
    if (row.left && now < row.ends)
    {
        return announce_effect::ignored;
    }
    row.left = it.leaving;
    row.ends = now + config::announce_lifetime;
    ends_.emplace_back(row.ends, it.info.id);
    if (it.leaving)
    {
        row.info = it.info;
        remove(row);
        return announce_effect::left;
    }
    if (row.present && row.info == it.info)
    {
        return announce_effect::renewed;
    }
    row.info = it.info;
    if (!row.present)
    {
        row.present = true;
        ++present_;
    }
    touch(row);
    return announce_effect::updated;
}

auto backend_table::expire(time_point now) -> std::vector<backend_id>
{
    complete(now);
    std::vector<backend_id> gone;
    while (!ends_.empty() && ends_.front().first <= now)
    {
        auto const id = ends_.front().second;
        ends_.pop_front();
        auto const found = rows_.find(id);
        // A later announcement has put a later end behind this one.
        if (found == rows_.end() || found->second.ends > now)
        {
            continue;
        }
        found->second.left = false;
        if (found->second.present)
        {
            gone.push_back(id);
            remove(found->second);
        }
    }
    drop_tombstones();
    return gone;
}

auto backend_table::complete(time_point now) -> void
{
    if (!completed_ && is_complete(now))
    {
        completed_ = true;
        whole_below_ = ++newest_;
    }
}

auto backend_table::touch(table_row& it) -> void
{
    by_revision_.erase(it.at);
    it.at = ++newest_;
    by_revision_.emplace(it.at, it.info.id);
}

auto backend_table::remove(table_row& it) -> void
{
    if (it.present)
    {
        it.present = false;
        --present_;
    }
    touch(it);
    removed_.emplace_back(it.at, it.info.id);
}

auto backend_table::drop_tombstones() -> void
{
    while (removed_.size() > max_tombstones)
    {
        auto const [at, id] = removed_.front();
        removed_.pop_front();
        auto const found = rows_.find(id);
        if (found == rows_.end() || found->second.at != at)
        {
            continue; // it came back or left again
        }
        if (found->second.left)
        {
            removed_.emplace_front(at, id); // still refuses announcements
            return;
        }
        whole_below_ = at;
        by_revision_.erase(at);
        rows_.erase(found);
    }
}

auto backend_table::changes_since(term of, revision since, time_point now)
    -> backend_delta
{
    complete(now);
    backend_delta delta;
    delta.to = newest_;
    delta.complete = is_complete(now);
    auto const whole = of != term_ || since < whole_below_ || since > newest_;
    delta.from = whole ? revision{0} : since;
    for (auto it = by_revision_.upper_bound(delta.from);
         it != by_revision_.end(); ++it)
    {
        auto const& row = rows_.at(it->second);
        if (row.present || !whole)
        {
            delta.changes.push_back({row.info, !row.present});
        }
    }
    return delta;
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
