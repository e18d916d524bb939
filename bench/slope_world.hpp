/// Contracts, workers, jobs and keys of the design's shape, by number.
#ifndef APRICOTLB_BENCH_SLOPE_WORLD_HPP
#define APRICOTLB_BENCH_SLOPE_WORLD_HPP

#include "core/state/commands.hpp"

#include <apricotlb/config.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace apricotlb::bench
{

inline constexpr std::size_t customer_count = 380;
inline constexpr std::size_t entry_count = 10;
inline constexpr std::size_t tasks_per_job = 100;
inline constexpr std::size_t tasks_per_worker = 11;
inline constexpr term leads{1};

inline auto numbered(char const* prefix, std::size_t n) -> std::string
{
    return prefix + std::to_string(100'000 + n);
}

inline auto customer_of(std::size_t n) -> customer_id
{
    return customer_id{numbered("team-", n % customer_count)};
}

inline auto contract_of(std::size_t n) -> command
{
    apply_contract it;
    it.value.customer = customer_id{numbered("team-", n)};
    it.value.version = contract_version{1};
    it.value.vm_share = permille{1000};
    it.value.urgent_latency = milliseconds{300};
    it.value.batch = {{millicores{1'000'000'000},
                       byte_count{std::int64_t{1} << 50},
                       accelerators{100'000}},
                      task_count{1'000'000}};
    it.value.tokens = {token_hash{std::string(64, 'a')}};
    it.value.key_retention = config::default_key_retention;
    it.value.home_region = region_id{"region-a"};
    it.change = change_id{numbered("9f3c1f0a-77d1-4d3b-8a55-000000", n)};
    it.changed_by = operator_name{"operator-1"};
    return it;
}

inline auto worker_name(std::size_t n) -> worker_id
{
    return worker_id{numbered("worker-", n)};
}

inline auto worker_of(std::size_t n) -> command
{
    worker_info it;
    it.id = worker_name(n);
    it.address = url{"http://10.100.100.100:8080"};
    it.region = region_id{"region-a"};
    it.zone = zone_id{numbered("zone-", n / 20 % 8)};
    it.rack = rack_id{numbered("rack-", n / 20)};
    it.capacity = {millicores{32'000}, byte_count{std::int64_t{128} << 30},
                   accelerators{2}};
    it.slots = slot_count{8};
    it.connections = connection_count{64};
    return register_worker{it};
}

inline auto spec_of(std::size_t n, std::size_t tasks) -> job_spec
{
    job_spec it;
    it.id = job_id{numbered("job-", n)};
    it.customer = customer_of(n);
    it.work = work_kind{numbered("kind-", n % 200)};
    it.tasks = task_count{static_cast<std::int64_t>(tasks)};
    it.each = {millicores{500}, byte_count{std::int64_t{1} << 30},
               accelerators{0}};
    it.payload = std::string(200, 'p');
    return it;
}

/// The n-th task: tasks fill the jobs and the workers in order.
inline auto attempt_of(std::size_t n) -> attempt_id
{
    return {{job_id{numbered("job-", n / tasks_per_job)},
             task_index{static_cast<std::uint32_t>(n % tasks_per_job)}},
            attempt_number{1}};
}

inline auto place_of(std::size_t n) -> command
{
    auto const spec = spec_of(n / tasks_per_job, tasks_per_job);
    return place_task{spec.customer, attempt_of(n),
                      worker_name(n / tasks_per_worker), spec.each};
}

inline auto end_of(std::size_t n) -> command
{
    return end_attempt{customer_of(n / tasks_per_job), attempt_of(n),
                       attempt_end::finished, std::nullopt, false};
}

inline auto key_of(std::size_t n) -> command
{
    begin_key it;
    it.name = {customer_of(n),
               idempotency_key{numbered("6a1e2d7c-1b9f-4c9e-9d0e-000000", n)}};
    it.digest = request_digest{0x9e3779b97f4a7c15U * (n + 1)};
    it.session = {node_id{"entry-1"}, incarnation{1'790'000'000'000}};
    it.request = request_id{n + 1};
    it.at = wall_time{seconds{1'790'000'000}};
    return it;
}

template <class Make>
auto many(std::size_t n, Make make) -> std::vector<command>
{
    std::vector<command> out;
    for (std::size_t k = 0; k < n; ++k)
    {
        out.push_back(make(k));
    }
    return out;
}

} // namespace apricotlb::bench

#endif
