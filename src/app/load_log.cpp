#include "app/load_log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{

namespace
{

logger const load_logger{"load"};

auto to_ms(duration d) -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(d).count();
}

auto name_of(raft_role it) -> std::string_view
{
    switch (it)
    {
    case raft_role::follower:
        return "follower";
    case raft_role::pre_candidate:
        return "pre_candidate";
    case raft_role::candidate:
        return "candidate";
    case raft_role::leader:
        break;
    }
    return "leader";
}

} // namespace

auto log_role(role_change const& it) -> void
{
    std::vector<log_field> fields{
        {"role", name_of(it.role)},
        {"term", it.in_term},
        {"leader", it.leader ? it.leader->value() : ""},
        {"leader_silent_ms", to_ms(it.leader_silence)}};
    if (it.office)
    {
        fields.emplace_back("office_end", name_of(it.office->reason));
        fields.emplace_back("office_ms", to_ms(it.office->length));
        fields.emplace_back("majority_silent_ms",
                            to_ms(it.office->majority_silence));
        std::string silent;
        for (auto const& id : it.office->silent)
        {
            silent += silent.empty() ? "" : " ";
            silent += id.value();
        }
        fields.emplace_back("silent", std::move(silent));
    }
    load_logger.info("role", fields);
}

auto log_disk(disk_event it, std::string const& cause) -> void
{
    if (it == disk_event::full)
    {
        load_logger.warning("disk full", {{"cause", cause}});
    }
    else if (it == disk_event::writable)
    {
        load_logger.info("disk writable", {});
    }
}

auto log_load(loop_usage const& loop, replica_load const& replica) -> void
{
    std::vector<log_field> fields{
        {"turns", loop.turns},
        {"busy_ms", to_ms(loop.busy)},
        {"longest_turn_ms", to_ms(loop.longest_turn)},
        {"syncs", replica.syncs},
        {"sync_ms", to_ms(replica.sync_time)},
        {"longest_sync_ms", to_ms(replica.longest_sync)},
        {"longest_delay_ms", to_ms(replica.longest_delay)}};
    auto const& office = replica.office;
    if (office.in_office > duration{})
    {
        auto const count = std::max<std::int64_t>(office.commits, 1);
        fields.emplace_back("office_ms", to_ms(office.in_office));
        fields.emplace_back("no_lease_ms", to_ms(office.without_lease));
        fields.emplace_back("longest_round_trip_ms",
                            to_ms(office.longest_round_trip));
        fields.emplace_back("commits", office.commits);
        fields.emplace_back("mean_commit_ms",
                            to_ms(office.commit_time / count));
        fields.emplace_back("longest_commit_ms", to_ms(office.longest_commit));
    }
    load_logger.info("load", std::move(fields));
}

auto log_lags(std::vector<peer_lag> const& all) -> void
{
    if (all.empty())
    {
        return;
    }
    std::string peers;
    for (auto const& it : all)
    {
        peers += peers.empty() ? "" : " ";
        peers += it.id.value() + "=" + std::to_string(to_ms(it.age));
    }
    load_logger.info("unacknowledged", {{"peers", peers}});
}

auto log_refused_life(refused_life const& it) -> void
{
    load_logger.warning("life_refused", {{"peer", it.peer},
                                         {"refused", it.refused},
                                         {"known", it.known},
                                         {"cause", name_of(it.cause)}});
}

auto log_increments(std::vector<counter_increment> const& all) -> void
{
    constexpr std::string_view prefix = "apricotlb_";
    constexpr std::string_view suffix = "_total";
    std::vector<std::string> names; // a log_field does not own its name
    names.reserve(all.size());
    std::vector<log_field> fields;
    for (auto const& it : all)
    {
        std::string_view name{it.name};
        if (name.starts_with(prefix))
        {
            name.remove_prefix(prefix.size());
        }
        if (name.ends_with(suffix))
        {
            name.remove_suffix(suffix.size());
        }
        names.emplace_back(name);
        if (!it.label.empty())
        {
            names.back().append(".").append(it.label);
        }
        fields.emplace_back(names.back(), it.by);
    }
    if (!fields.empty())
    {
        load_logger.info("counts", std::move(fields));
    }
}

} // namespace apricotlb
