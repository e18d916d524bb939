#include "app/control_views.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace apricotlb
{

namespace
{

auto name_of(job_state it) -> std::string_view
{
    switch (it)
    {
    case job_state::active:
        return "active";
    case job_state::cancelling:
        return "cancelling";
    case job_state::finished:
        return "finished";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        break;
    }
    return "cancelled";
}

auto count(std::uint64_t n) -> task_count
{
    return task_count{static_cast<std::int64_t>(n)};
}

} // namespace

auto make_status(node_id const& self, replica_status const& log,
                 state_machine const& state, leader_state& leader,
                 time_point now) -> status_view
{
    status_view out;
    out.leader = self;
    out.in_term = log.log.in_term;
    out.commit_index = log.log.commit_index;
    out.applied = log.applied;
    out.disk = log.disk;
    out.contracts = state.contracts().newest_revision();
    out.in_force = leader.in_force(out.contracts, now);
    out.workers = count(state.workers().all().size());
    out.backends = count(leader.backends().size());
    out.jobs_waiting = count(state.jobs().waiting_jobs().size());
    out.keys = count(state.keys().size());
    auto const& counters = leader.schedule().counters();
    out.placements = count(counters.placements);
    out.evictions = count(counters.evictions);
    out.lost_leases = count(counters.lost);
    out.quarantines = count(counters.quarantines);
    for (auto const& [id, it] : leader.leases().all())
    {
        out.entries.push_back({id, it.confirmed, now < it.ends, it.draining});
    }
    return out;
}

auto make_contracts(state_machine const& state, customer_id const& customer)
    -> std::vector<contract>
{
    std::vector<contract> out;
    for (auto const& it : state.contracts().changes_since(revision{0}))
    {
        auto const is_selected =
            customer == customer_id{} || it.value.customer == customer;
        if (!it.removed && is_selected)
        {
            out.push_back(it.value);
        }
    }
    return out;
}

auto make_workers(state_machine const& state) -> std::vector<worker_view>
{
    std::vector<worker_view> out;
    for (auto const& [id, it] : state.workers().all())
    {
        out.push_back({id, it.info.zone, it.info.rack, it.info.capacity,
                       it.committed, count(it.attempts.size())});
    }
    return out;
}

auto make_backends(leader_state const& leader) -> std::vector<backend_info>
{
    return leader.backends().all();
}

auto make_job(job_record const& it) -> job_view
{
    return {it.spec.id, it.spec.customer, std::string{name_of(it.state())},
            it.counts};
}

auto make_jobs(state_machine const& state, customer_id const& customer)
    -> std::vector<job_view>
{
    std::vector<job_view> out;
    state.jobs().visit(
        [&](job_record const& it)
        {
            if (customer == customer_id{} || it.spec.customer == customer)
            {
                out.push_back(make_job(it));
            }
        });
    return out;
}

auto make_data_centres(state_machine const& state,
                       std::optional<run_scheduler> const& scheduler)
    -> std::vector<data_centre_view>
{
    std::map<zone_id, data_centre_view> by_name;
    for (auto const& zone : state.evacuations().all())
    {
        by_name[zone].evacuated = true;
    }
    for (auto const& [id, worker] : state.workers().all())
    {
        auto& it = by_name[worker.info.zone];
        ++it.workers;
        it.runs += count(worker.attempts.size());
    }
    if (scheduler)
    {
        for (auto const& [id, worker] : scheduler->workers())
        {
            if (worker.info)
            {
                auto& it = by_name[worker.info->zone];
                ++it.workers;
                it.runs += count(worker.runs.size());
                it.permanent += task_count{
                    std::ranges::count_if(worker.runs, [](auto const& each)
                                          { return each.second.permanent; })};
            }
        }
    }
    std::vector<data_centre_view> out;
    for (auto& [name, it] : by_name)
    {
        it.name = name;
        out.push_back(std::move(it));
    }
    return out;
}

auto make_members(replica_status const& log) -> std::vector<member_view>
{
    std::vector<member_view> out;
    for (auto const& it : log.log.members)
    {
        auto const* const role =
            it.member.role == member_role::voter ? "voter" : "learner";
        out.push_back(
            {it.member.id, it.member.address, role, it.match, it.lag});
    }
    return out;
}

} // namespace apricotlb
