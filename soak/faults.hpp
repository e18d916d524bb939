/// The schedule of faults of a soak, and what carries it out from outside of
/// the processes.
#ifndef APRICOTLB_SOAK_FAULTS_HPP
#define APRICOTLB_SOAK_FAULTS_HPP

#include "soak/ledger.hpp"
#include "soak/processes.hpp"
#include "soak/worker.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb::soak
{

enum class fault_kind : std::uint8_t
{
    kill_control,     ///< one or two
    kill_all_control, ///< at the same moment
    freeze_control,   ///< one or two
    end_control,      ///< SIGTERM, repeated or not
    restart_series,   ///< one control process is killed several times in a row
    lose_disk,
    replace_control, ///< gone for good; another one comes at a new address
    kill_entry,
    freeze_entry,
    end_entry,     ///< SIGTERM, repeated or not
    end_entries,   ///< several, one after the other, overlapping
    hang_up,       ///< SIGHUP to all, with settings files that change
    crash_workers, ///< down, silent or not, and back under their ids or others
    late_workers,  ///< leave orders unanswered and carry them out late
    freeze_workers,
    drain_workers,
    cut_links, ///< between entries and workers, one way or both
    slow_links,
    reset_links,
    cancel_wave,   ///< many workflows at once
    leave_workers, ///< drain; some have no successor at their address
    leave_unheard, ///< drain, and leave while no control process is up
    crash_unheard, ///< crash while no control process is up
    /// One, or all of a zone, crash, are back under their ids within a second,
    /// and are cut off before the lease of an order to their former lives ends.
    restart_and_cut,
    step_clocks,   ///< of processes that run, and back later
    start_stepped, ///< some restart with a clock that was set meanwhile
    /// All control processes restart so, and once more a few seconds later.
    restart_core_stepped,
};

[[nodiscard]] auto name_of(fault_kind it) -> std::string_view;

struct fault
{
    duration at{};
    fault_kind kind{};
    std::uint64_t seed{0};             ///< of the choices that it needs
    std::chrono::milliseconds step{0}; ///< of clocks
};

/// Which way the times of day of processes and workers are set first.
enum class clock_steps : std::uint8_t
{
    none,
    back,
    ahead,
    both,
};

/// By name; std::invalid_argument for any other.
[[nodiscard]] auto parse_clock_steps(std::string const& it) -> clock_steps;
/// Those of a run without the option, by its seed.
[[nodiscard]] auto make_clock_steps(std::uint64_t seed) -> clock_steps;

/// What precedes the loss of all processes.
enum class farewell : std::uint8_t
{
    none,
    drains,  ///< half of the workers drain, and leave while nobody hears it
    crashes, ///< half of the workers crash just before
};

/// The same seed gives the same schedule. Faults come in series and overlap,
/// with calm spans between in which promises with a time bound are checked.
/// Steps of clocks come beside the others and change none of them; for 20 s
/// from a stop of the core on, the others are left out.
[[nodiscard]] auto make_schedule(std::uint64_t seed, duration length,
                                 clock_steps clocks = clock_steps::none)
    -> std::vector<fault>;

/// Disks that are slow for the whole of a run, drawn by its seed: none, one or
/// all, 20 to 300 ms a sync.
[[nodiscard]] auto make_slow_disks(std::uint64_t seed) -> slow_disks;

class fault_injector
{
public:
    fault_injector(glib_clock& clock, processes& system,
                   std::vector<std::unique_ptr<worker>>& workers,
                   disturbances& disturbed,
                   std::function<void(std::string const&)> log);
    fault_injector(fault_injector const&) = delete;
    auto operator=(fault_injector const&) -> fault_injector& = delete;

    auto run(std::vector<fault> const& schedule) -> void;
    /// Ends the soak with the loss of all processes; two control processes also
    /// lose their disks if `with_disks`.
    auto lose_all(bool with_disks, std::uint64_t seed) -> void;
    /// Harms half of the workers; the time until all processes are to be lost.
    auto begin_farewell(farewell how, std::uint64_t seed) -> duration;
    /// Starts what is down, lets frozen processes go on and repairs links.
    auto repair() -> void;

    /// Called to cancel many workflows at once.
    std::function<void(std::uint64_t seed)> on_cancel_wave;

private:
    using names = std::vector<std::string>;
    /// Machines whose clocks are set together.
    struct clock_group
    {
        names processes;
        std::vector<worker*> workers;
    };

    auto begin(fault const& it) -> void;
    auto pick_workers(std::mt19937_64& random) -> std::vector<worker*>;
    auto after(duration delay, std::function<void()> run) -> void;
    /// Disturbs a process or a worker until the end, which is then called.
    auto disturb(std::string const& name, duration time,
                 std::function<void()> end) -> void;
    auto kill(std::string const& name, duration down) -> void;
    auto end(std::string const& name, std::uint64_t signals) -> void;
    auto freeze(std::string const& name, duration time) -> void;
    auto restart(std::string const& name, duration down, bool planned) -> void;
    auto harm_workers(fault_kind kind, std::mt19937_64& random) -> void;
    auto restart_and_cut(std::mt19937_64& random) -> void;
    auto harm_links(fault_kind kind, std::mt19937_64& random) -> void;
    auto kill_all(names const& of, duration down) -> void;
    /// Drains a worker. A successor at its address has a new id.
    auto send_away(worker& it, std::mt19937_64& random) -> void;
    auto crash(worker& it, std::mt19937_64& random) -> void;
    /// Starts a worker that is down and not gone for good.
    auto start_again(worker& it, bool keeps_id) -> void;
    /// True if a worker that ends now is to have no successor.
    auto is_last_life(worker& it, std::mt19937_64& random) -> bool;
    auto restart_in_series(std::string const& name, int times) -> void;
    /// One control process, all, entries, workers, or all processes and
    /// workers.
    auto pick_clocks(std::mt19937_64& random) -> clock_group;
    auto set_clocks(fault const& it, std::mt19937_64& random, duration down)
        -> void;
    /// With a restart if it is given how long that takes.
    auto step_clocks(clock_group const& of, std::chrono::milliseconds step,
                     std::optional<duration> down) -> void;

    glib_clock& clock_;
    processes& system_;
    std::vector<std::unique_ptr<worker>>& workers_;
    disturbances& disturbed_;
    std::function<void(std::string const&)> log_;
    std::map<std::string, std::function<void()>> on_ended_;
    std::set<worker*> gone_;        ///< for good
    time_point disk_counts_from_{}; ///< the last machine that lost its disk
};

} // namespace apricotlb::soak

#endif
