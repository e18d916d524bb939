/// Measures what the state and the leader cost per unit of size, and fits a
/// straight line to each. docs/CAPACITY.md is computed from the output.
/// Memory is the difference of allocated heap bytes (mallinfo2), processor
/// time is that of this thread.
#include "adapters/json_codec.hpp"
#include "adapters/msgpack_codec.hpp"
#include "core/leader/leader_state.hpp"
#include "slope_fit.hpp"
#include "slope_world.hpp"

#include <apricotlb/config.hpp>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb
{
namespace
{

using namespace bench;
using sizes = std::initializer_list<std::size_t>;

/// The report keeps the smallest value of each size: other load on the machine
/// only adds processor time.
constexpr auto passes = 3;

auto apply_all(state_machine& state, std::vector<command> const& all) -> void
{
    for (auto const& it : all)
    {
        auto const done = state.apply(it, state.applied() + log_index{1});
        if (done.refused)
        {
            std::printf("refused: %s\n", done.detail.c_str());
            std::exit(1);
        }
    }
}

auto snapshot_bytes(state_machine const& state) -> double
{
    return static_cast<double>(snapshot_codec::encode(state.snapshot()).size());
}

/// Applies the commands to a prepared state and notes memory, time, snapshot
/// bytes and log bytes by their number.
auto note_apply(slope_report& out, std::string const& name,
                state_machine& state, std::vector<command> const& all) -> void
{
    auto const n = static_cast<double>(all.size());
    auto const snapshot = snapshot_bytes(state);
    auto const heap = heap_bytes();
    auto const start = processor_micros();
    apply_all(state, all);
    out.add("state.cpu." + name, "command", "us", n,
            processor_micros() - start);
    out.add("state.heap." + name, "command", "B", n, heap_bytes() - heap);
    out.add("state.snapshot." + name, "command", "B", n,
            snapshot_bytes(state) - snapshot);
    std::size_t bytes{0};
    for (auto const& it : all)
    {
        bytes += msgpack_codec::encode(it).size();
    }
    out.add("log." + name, "command", "B", n, static_cast<double>(bytes));
}

auto job_command(std::size_t tasks)
{
    return [tasks](std::size_t n) -> command
    { return submit_job{spec_of(n, tasks)}; };
}

auto measure_state(slope_report& out) -> void
{
    for (auto const n : sizes{1'000, 3'000, 5'800})
    {
        state_machine state;
        note_apply(out, "register_worker", state, many(n, worker_of));
        note_apply(out, "apply_contract", state, many(n, contract_of));
    }
    for (auto const n : sizes{10'000, 30'000, 60'000})
    {
        state_machine jobs;
        apply_all(jobs, many(customer_count, contract_of));
        note_apply(out, "submit_job", jobs, many(n, job_command(1)));

        state_machine tasks;
        apply_all(tasks, many(customer_count, contract_of));
        apply_all(tasks, many(n / tasks_per_worker + 1, worker_of));
        // Memory of a task is that of its share of a job and of its attempt.
        note_apply(out, "submit_job_of_100", tasks,
                   many(n / tasks_per_job, job_command(tasks_per_job)));
        note_apply(out, "place_task", tasks, many(n, place_of));
        note_apply(out, "end_attempt", tasks, many(n, end_of));

        state_machine keys;
        apply_all(keys, many(customer_count, contract_of));
        note_apply(out, "begin_key", keys, many(n, key_of));
    }
}

/// A leader and its entries, which hold all that it grants.
class heartbeat_run
{
public:
    explicit heartbeat_run(std::size_t backends)
        : backends_(backends), beats_(entry_count)
    {
        apply_all(state_, many(customer_count, contract_of));
        for (std::size_t n = 0; n < entry_count; ++n)
        {
            auto& beat = beats_[n];
            beat.session = {node_id{numbered("entry-", n)}, incarnation{1}};
            beat.zone = zone_id{numbered("zone-", n % 8)};
            for (std::size_t k = 0; k < customer_count; ++k)
            {
                auto const fair = 8 * backends / customer_count / entry_count;
                beat.demand.push_back(
                    {customer_of(k), service_name{numbered("service-", k)},
                     request_count{static_cast<std::int64_t>(fair)},
                     request_count{0}});
            }
        }
    }

    auto run(slope_report& out) -> void
    {
        leader_state leader{state_, leads, now_, scheduler_policy{}};
        constexpr auto rounds = 60;
        constexpr auto measured = 20;
        for (auto round = 0; round < rounds; ++round)
        {
            now_ += config::heartbeat_interval;
            if (round % 2 == 0)
            {
                announce_all(leader, round >= rounds - measured);
            }
            for (auto& beat : beats_)
            {
                step(leader, beat, round >= rounds - measured);
            }
        }
        auto const n = static_cast<double>(backends_);
        auto const beats = double{measured} * entry_count;
        auto const put = [&](char const* name, char const* unit, double value)
        { out.add(name, "backend", unit, n, value / beats); };
        put("heartbeat.cpu.leader", "us", leader_us_);
        put("heartbeat.cpu.codec", "us", codec_us_);
        put("heartbeat.bytes.request", "B", request_bytes_);
        put("heartbeat.bytes.answer", "B", answer_bytes_);
        out.add("announce.cpu.leader", "announcement", "us", n * measured / 2,
                announce_us_);
    }

private:
    auto announce_all(leader_state& leader, bool counts) -> void
    {
        auto const start = processor_micros();
        for (std::size_t n = 0; n < backends_; ++n)
        {
            backend_announcement it;
            it.info.id = backend_id{numbered("backend-", n)};
            it.info.customer = customer_of(n);
            it.info.service =
                service_name{numbered("service-", n % customer_count)};
            it.info.address = url{"http://10.100.100.100:8080"};
            it.info.zone = zone_id{numbered("zone-", n / customer_count % 8)};
            it.info.slots = slot_count{8};
            it.info.connections = connection_count{64};
            leader.on_announce(it, now_);
        }
        announce_us_ += counts ? processor_micros() - start : 0;
    }

    auto step(leader_state& leader, entry_heartbeat& beat, bool counts) -> void
    {
        ++beat.number;
        auto const bytes = msgpack_codec::encode(beat);
        auto const start = processor_micros();
        auto const got = msgpack_codec::decode<entry_heartbeat>(bytes);
        auto const decoded = processor_micros();
        auto const answer = leader.on_heartbeat(got.value(), now_);
        auto const answered = processor_micros();
        auto const sent = msgpack_codec::encode(*answer);
        auto const end = processor_micros();
        beat.contracts = answer->contracts_to;
        beat.backends = answer->backends_to;
        beat.backends_of = answer->leader_term;
        beat.held = answer->shares;
        beat.applied = beat.number;
        beat.applied_term = leads;
        if (counts)
        {
            leader_us_ += answered - decoded;
            codec_us_ += (decoded - start) + (end - answered);
            request_bytes_ += static_cast<double>(bytes.size());
            answer_bytes_ += static_cast<double>(sent.size());
        }
    }

    std::size_t backends_;
    state_machine state_;
    time_point now_{seconds{1}};
    std::vector<entry_heartbeat> beats_;
    double leader_us_{0};
    double codec_us_{0};
    double request_bytes_{0};
    double answer_bytes_{0};
    double announce_us_{0};
};

/// Reports of workers that run the given number of tasks each.
auto measure_reports(slope_report& out, std::size_t tasks) -> void
{
    constexpr std::size_t workers = 200;
    constexpr auto rounds = 20;
    state_machine state;
    apply_all(state, many(customer_count, contract_of));
    apply_all(state, many(workers, worker_of));
    auto const total = workers * tasks;
    apply_all(state,
              many(total / tasks_per_job + 1, job_command(tasks_per_job)));
    std::vector<worker_report> reports(workers);
    for (std::size_t n = 0; n < total; ++n)
    {
        auto it = std::get<place_task>(place_of(n));
        it.worker = worker_name(n / tasks);
        apply_all(state, {it});
        reports[n / tasks].worker = it.worker;
        reports[n / tasks].running.push_back({it.customer, it.attempt,
                                              it.committed, milliseconds{500},
                                              permille{1000}});
    }
    time_point now{seconds{1}};
    leader_state leader{state, leads, now, scheduler_policy{}};
    double leader_us{0};
    double codec_us{0};
    double json_us{0};
    double bytes_of[4]{};
    for (auto round = 0; round < rounds; ++round)
    {
        now += config::report_interval;
        for (auto& it : reports)
        {
            ++it.number;
            auto const json = json_codec::encode(it);
            auto const start = processor_micros();
            auto const read = json_codec::decode<worker_report>(json);
            auto const asked = processor_micros();
            auto const bytes =
                msgpack_codec::encode(call{call_id{1}, read.value()});
            auto const packed = processor_micros();
            auto const got = msgpack_codec::decode<call>(bytes);
            auto const decoded = processor_micros();
            auto const answer = leader.on_report(
                std::get<worker_report>(got.value().body), now);
            auto const answered = processor_micros();
            auto const sent =
                msgpack_codec::encode(call_answer{call_id{1}, answer.value()});
            auto const ended = processor_micros();
            auto const text = json_codec::encode(answer.value());
            json_us += asked - start + processor_micros() - ended;
            leader_us += answered - decoded;
            codec_us += decoded - packed + ended - answered;
            bytes_of[0] += static_cast<double>(json.size());
            bytes_of[1] += static_cast<double>(text.size());
            bytes_of[2] += static_cast<double>(bytes.size());
            bytes_of[3] += static_cast<double>(sent.size());
        }
    }
    auto const put = [&](char const* name, char const* unit, double value)
    {
        out.add(name, "task", unit, static_cast<double>(tasks),
                value / (double{rounds} * workers));
    };
    put("report.cpu.leader", "us", leader_us);
    put("report.cpu.codec", "us", codec_us);
    put("report.cpu.json", "us", json_us);
    put("report.json.request", "B", bytes_of[0]);
    put("report.json.answer", "B", bytes_of[1]);
    put("report.msgpack.request", "B", bytes_of[2]);
    put("report.msgpack.answer", "B", bytes_of[3]);
}

auto measure_scheduler(slope_report& out) -> void
{
    for (auto const n : sizes{1'000, 3'000, 5'800})
    {
        time_point const now{seconds{1}};
        auto it = scheduler::builder{}.build();
        for (std::size_t k = 0; k < customer_count; ++k)
        {
            it.contract_set(std::get<apply_contract>(contract_of(k)).value,
                            now);
        }
        auto const start = heap_bytes();
        for (std::size_t k = 0; k < n; ++k)
        {
            it.worker_registered(std::get<register_worker>(worker_of(k)).info,
                                 now);
        }
        auto const idle = heap_bytes();
        auto const tasks = n * tasks_per_worker / tasks_per_job * tasks_per_job;
        for (std::size_t k = 0; k < tasks; ++k)
        {
            if (k % tasks_per_job == 0)
            {
                it.job_submitted(spec_of(k / tasks_per_job, tasks_per_job),
                                 now);
            }
            it.attempt_placed(std::get<place_task>(place_of(k)), now);
        }
        out.add("scheduler.heap.worker", "worker", "B", static_cast<double>(n),
                idle - start);
        out.add("scheduler.heap.task", "task", "B", static_cast<double>(tasks),
                heap_bytes() - idle);
    }
}

auto run_all(char const* file) -> int
{
    slope_report out;
    for (auto pass = 0; pass < passes; ++pass)
    {
        measure_state(out);
        for (auto const n : sizes{500, 1'500, 3'000, 5'800})
        {
            heartbeat_run{n}.run(out);
        }
        for (auto const n : sizes{2, 5, 11, 20})
        {
            measure_reports(out, n);
        }
        measure_scheduler(out);
    }
    return out.print(file) ? 0 : 1;
}

} // namespace
} // namespace apricotlb

auto main(int argc, char** argv) -> int
{
    return apricotlb::run_all(argc > 1 ? argv[1] : nullptr);
}
