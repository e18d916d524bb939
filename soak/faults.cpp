#include "soak/faults.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace apricotlb::soak
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// In the order of fault_kind.
constexpr auto names_of_kinds = std::to_array<std::string_view>(
    {"kill_control",    "kill_all_control", "freeze_control",
     "end_control",     "restart_series",   "lose_disk",
     "replace_control", "kill_entry",       "freeze_entry",
     "end_entry",       "end_entries",      "hang_up",
     "crash_workers",   "late_workers",     "freeze_workers",
     "drain_workers",   "cut_links",        "slow_links",
     "reset_links",     "cancel_wave",      "leave_workers",
     "leave_unheard",   "crash_unheard",    "restart_and_cut",
     "step_clocks",     "start_stepped",    "restart_core_stepped"});
/// Those from here on come beside the others, from a second sequence of random
/// numbers.
constexpr auto first_added = static_cast<std::size_t>(fault_kind::cancel_wave);
constexpr auto end_added =
    static_cast<std::size_t>(fault_kind::restart_and_cut);
constexpr auto first_clock = static_cast<std::size_t>(fault_kind::step_clocks);
constexpr auto end_clock = names_of_kinds.size();
static_assert(end_clock ==
              static_cast<std::size_t>(fault_kind::restart_core_stepped) + 1);

/// Any of the kinds from `first` up to `end`.
auto any_kind(std::uint64_t random, std::size_t first, std::size_t end)
    -> fault_kind
{
    return static_cast<fault_kind>(first + random % (end - first));
}

/// The seeds before it have every form of the end with good disks, and clocks
/// that are left alone.
constexpr std::uint64_t first_varied = 27;
/// Time until a machine that lost its disk, or is new, counts again.
constexpr auto catch_up = seconds{4};
constexpr auto grace = seconds{6};
/// From the drain of workers to the loss of those who hear that they leave.
constexpr auto drain_lead = milliseconds{2300};
constexpr auto crash_lead = milliseconds{100};
/// An address is used again after two seconds at the earliest.
constexpr auto first_reuse = milliseconds{2000};
constexpr auto last_reuse = milliseconds{3500};

auto chance(std::mt19937_64& random, std::uint64_t of) -> bool
{
    return random() % of == 0;
}

template <class Item>
auto pick(std::mt19937_64& random, std::vector<Item> from, std::size_t n)
    -> std::vector<Item>
{
    std::ranges::shuffle(from, random);
    from.resize(std::min(n, from.size()));
    return from;
}

auto between(std::mt19937_64& random, milliseconds least, milliseconds most)
    -> duration
{
    auto const span = static_cast<std::uint64_t>((most - least).count());
    return least + milliseconds{random() % (span + 1)};
}

} // namespace

auto name_of(fault_kind it) -> std::string_view
{
    return names_of_kinds.at(static_cast<std::size_t>(it));
}

auto parse_clock_steps(std::string const& it) -> clock_steps
{
    constexpr auto all =
        std::to_array<std::string_view>({"none", "back", "ahead", "both"});
    auto const found = std::ranges::find(all, it);
    if (found == all.end())
    {
        throw std::invalid_argument{
            "--clocks must be none, back, ahead or both, not " + it};
    }
    return static_cast<clock_steps>(found - all.begin());
}

auto make_clock_steps(std::uint64_t seed) -> clock_steps
{
    constexpr std::uint64_t share = 4;
    return seed >= first_varied && seed % share == share - 1
               ? clock_steps::both
               : clock_steps::none;
}

auto make_schedule(std::uint64_t seed, duration length, clock_steps clocks)
    -> std::vector<fault>
{
    std::mt19937_64 random{seed};
    std::vector<fault> out;
    duration at = seconds{3};
    while (at < length)
    {
        // A series, then a calm span that is longer than any bound.
        for (auto n = 1 + random() % 4; n > 0; --n)
        {
            out.push_back({at, any_kind(random(), 0, first_added), random()});
            at += between(random, milliseconds{0}, milliseconds{2500});
        }
        at += between(random, milliseconds{1000}, milliseconds{12000});
    }
    // Beside the others, so that the calm spans between series stay.
    std::mt19937_64 second{~seed};
    for (std::size_t n = out.size(); n > 0; --n)
    {
        constexpr std::uint64_t share = 2;
        if (chance(second, share))
        {
            out.push_back({out[n - 1].at + between(second, milliseconds{0},
                                                   milliseconds{1200}),
                           any_kind(second(), first_added, end_added),
                           second()});
        }
    }
    // Rare, as it takes up to 14 s without a calm span.
    std::mt19937_64 third{seed ^ (seed << 32U)};
    for (at = between(third, seconds{0}, seconds{12}); at < length;
         at += between(third, seconds{20}, seconds{40}))
    {
        out.push_back({at, fault_kind::restart_and_cut, third()});
    }
    // Each kind in turn, so that a run of 45 s has all of them.
    std::mt19937_64 fourth{seed ^ (seed << 16U)};
    auto kind = fourth();
    for (at = between(fourth, seconds{4}, seconds{8});
         at < length && clocks != clock_steps::none;
         at += between(fourth, seconds{10}, seconds{16}))
    {
        constexpr std::uint64_t hours_share = 6;
        auto const step = std::chrono::duration_cast<milliseconds>(
            chance(fourth, hours_share)
                ? between(fourth, std::chrono::hours{1}, std::chrono::hours{5})
                : between(fourth, seconds{1}, seconds{60}));
        auto const is_back = clocks == clock_steps::back ||
                             (clocks == clock_steps::both && chance(fourth, 2));
        fault const step_of{at, any_kind(++kind, first_clock, end_clock),
                            fourth(), is_back ? -step : step};
        // The silence of former lives lasts for 30 s; a calm span shows it.
        constexpr auto calm = seconds{20};
        if (step_of.kind == fault_kind::restart_core_stepped)
        {
            std::erase_if(out, [&](fault const& it)
                          { return it.at >= at && it.at < at + calm; });
            at += calm - seconds{10};
        }
        out.push_back(step_of);
    }
    std::erase_if(out, [&](fault const& it) { return it.at >= length; });
    return out;
}

auto make_slow_disks(std::uint64_t seed) -> slow_disks
{
    std::mt19937_64 random{seed * first_varied};
    constexpr std::uint64_t share = 3;
    if (seed < first_varied || !chance(random, share))
    {
        return {};
    }
    auto const mean = between(random, milliseconds{20}, milliseconds{300});
    return {std::chrono::duration_cast<milliseconds>(mean),
            chance(random, share) ? slow_disks::all : 1};
}

fault_injector::fault_injector(glib_clock& clock, processes& system,
                               std::vector<std::unique_ptr<worker>>& workers,
                               disturbances& disturbed,
                               std::function<void(std::string const&)> log)
    : clock_(clock), system_(system), workers_(workers), disturbed_(disturbed),
      log_(std::move(log))
{
    system_.on_end = [this](std::string const& name)
    {
        auto const node = on_ended_.extract(name);
        if (node && node.mapped())
        {
            node.mapped()();
            return;
        }
        // Ended by itself: a supervisor starts it again.
        after(milliseconds{200}, [this, name] { system_.start(name); });
    };
}

auto fault_injector::after(duration delay, std::function<void()> run) -> void
{
    clock_.start_timer(delay, std::move(run));
}

auto fault_injector::run(std::vector<fault> const& schedule) -> void
{
    for (auto const& it : schedule)
    {
        after(it.at, [this, it] { begin(it); });
    }
}

auto fault_injector::pick_workers(std::mt19937_64& random)
    -> std::vector<worker*>
{
    std::vector<worker*> out;
    constexpr std::size_t share = 6;
    auto const first = random() % workers_.size();
    for (std::size_t n = 0; n < workers_.size() / share + 1; ++n)
    {
        out.push_back(workers_[(first + n) % workers_.size()].get());
    }
    return out;
}

auto fault_injector::restart(std::string const& name, duration down,
                             bool planned) -> void
{
    auto const back = [this, name, planned]
    {
        system_.start(name);
        if (planned)
        {
            disturbed_.mark_planned(name, clock_.now());
        }
        else
        {
            disturbed_.end(name, clock_.now());
        }
    };
    on_ended_[name] = [this, down, back] { after(down, back); };
}

auto fault_injector::kill(std::string const& name, duration down) -> void
{
    if (!system_.at(name).is_running())
    {
        return;
    }
    disturbed_.begin(name, clock_.now());
    restart(name, down, false);
    system_.signal(name, SIGKILL);
}

/// SIGTERM, some more of them, and SIGKILL after the grace time.
auto fault_injector::end(std::string const& name, std::uint64_t signals) -> void
{
    if (!system_.at(name).is_running() || on_ended_.contains(name))
    {
        return;
    }
    disturbed_.mark_planned(name, clock_.now());
    restart(name, milliseconds{300}, true);
    auto const signal = [this, name, pid = system_.at(name).pid](int number)
    {
        if (system_.at(name).pid == pid)
        {
            system_.signal(name, number);
        }
        return system_.at(name).pid == pid;
    };
    for (std::uint64_t n = 0; n < signals; ++n)
    {
        after(milliseconds{700} * n, [signal] { signal(SIGTERM); });
    }
    after(grace,
          [this, name, signal]
          {
              if (signal(SIGKILL))
              {
                  log_(name + " is still there at the end of its grace time");
              }
          });
}

auto fault_injector::disturb(std::string const& name, duration time,
                             std::function<void()> end) -> void
{
    disturbed_.begin(name, clock_.now());
    after(time,
          [this, name, end = std::move(end)]
          {
              end();
              disturbed_.end(name, clock_.now());
          });
}

auto fault_injector::freeze(std::string const& name, duration time) -> void
{
    if (system_.at(name).is_running())
    {
        system_.signal(name, SIGSTOP);
        disturb(name, time, [this, name] { system_.signal(name, SIGCONT); });
    }
}

auto fault_injector::restart_in_series(std::string const& name, int times)
    -> void
{
    kill(name, milliseconds{50});
    if (times > 1)
    {
        after(milliseconds{400},
              [this, name, times] { restart_in_series(name, times - 1); });
    }
}

auto fault_injector::begin(fault const& it) -> void
{
    std::mt19937_64 random{it.seed};
    log_("fault " + std::string{name_of(it.kind)});
    auto const down = between(random, milliseconds{20}, milliseconds{2500});
    auto const frozen = between(random, milliseconds{200}, milliseconds{6000});
    auto const one_or_two = 1 + random() % 2;
    auto const signals = 1 + random() % 3;
    auto const control = system_.names('c');
    auto const entries = system_.names('e');
    auto const some = [&]
    {
        return it.kind < fault_kind::kill_entry
                   ? pick(random, control, one_or_two)
                   : pick(random, entries, 1);
    };
    switch (it.kind)
    {
    case fault_kind::kill_control:
    case fault_kind::kill_entry:
        kill_all(some(), down);
        break;
    case fault_kind::kill_all_control:
        kill_all(control, milliseconds{600});
        break;
    case fault_kind::freeze_control:
    case fault_kind::freeze_entry:
        for (auto const& name : some())
        {
            freeze(name, frozen);
        }
        break;
    case fault_kind::end_control:
    case fault_kind::end_entry:
        for (auto const& name : some())
        {
            end(name, signals);
        }
        break;
    case fault_kind::restart_series:
        restart_in_series(pick(random, control, 1).front(), 4);
        break;
    case fault_kind::lose_disk:
    case fault_kind::replace_control:
        if (clock_.now() < disk_counts_from_)
        {
            break;
        }
        disk_counts_from_ = clock_.now() + catch_up;
        if (auto const name = pick(random, control, 1).front();
            it.kind == fault_kind::lose_disk)
        {
            kill(name, down);
            system_.wipe(name);
            disk_counts_from_ += down;
        }
        else
        {
            disturbed_.mark(name, clock_.now());
            system_.remove(name);
            auto const added = system_.add_control();
            log_(name + " is replaced by " + added);
            disturbed_.mark(added, clock_.now());
        }
        break;
    case fault_kind::end_entries:
    {
        auto delay = duration{};
        for (auto const& name : pick(random, entries, entries.size() / 2))
        {
            after(delay, [this, name, signals] { end(name, signals); });
            delay += between(random, milliseconds{100}, milliseconds{1300});
        }
        break;
    }
    case fault_kind::hang_up:
        for (auto const& name : system_.names())
        {
            // New settings are no excuse of the core's.
            if (!system_.at(name).is_control())
            {
                disturbed_.mark_planned(name, clock_.now());
            }
            system_.reload(name);
        }
        break;
    case fault_kind::crash_workers:
    case fault_kind::late_workers:
    case fault_kind::freeze_workers:
    case fault_kind::drain_workers:
        harm_workers(it.kind, random);
        break;
    case fault_kind::cut_links:
    case fault_kind::slow_links:
    case fault_kind::reset_links:
        harm_links(it.kind, random);
        break;
    case fault_kind::cancel_wave:
        if (on_cancel_wave)
        {
            on_cancel_wave(random());
        }
        break;
    case fault_kind::leave_workers:
    case fault_kind::leave_unheard:
        for (auto* const each : pick_workers(random))
        {
            send_away(*each, random);
        }
        if (it.kind == fault_kind::leave_unheard)
        {
            after(drain_lead,
                  [this, down] { kill_all(system_.names('c'), down); });
        }
        break;
    case fault_kind::crash_unheard:
        kill_all(control, down);
        after(between(random, milliseconds{0}, milliseconds{500}),
              [this, it, of = pick_workers(random)]
              {
                  std::mt19937_64 later{it.seed};
                  for (auto* const each : of)
                  {
                      crash(*each, later);
                  }
              });
        break;
    case fault_kind::restart_and_cut:
        restart_and_cut(random);
        break;
    case fault_kind::step_clocks:
    case fault_kind::start_stepped:
    case fault_kind::restart_core_stepped:
        set_clocks(it, random, down);
        break;
    }
}

auto fault_injector::set_clocks(fault const& it, std::mt19937_64& random,
                                duration down) -> void
{
    auto const is_core = it.kind == fault_kind::restart_core_stepped;
    auto const of =
        is_core ? clock_group{system_.names('c'), {}} : pick_clocks(random);
    log_("clocks of " + std::to_string(of.processes.size()) +
         " processes from " +
         (of.processes.empty() ? "none" : of.processes.front()) + " and " +
         std::to_string(of.workers.size()) + " workers step by " +
         std::to_string(it.step.count()) + " ms");
    auto const again = between(random, seconds{2}, seconds{6});
    step_clocks(of, it.step,
                it.kind == fault_kind::step_clocks ? std::nullopt
                                                   : std::optional{down});
    if (is_core)
    {
        after(again, [this, of, it, down] { step_clocks(of, it.step, down); });
    }
    after(between(random, seconds{8}, seconds{20}),
          [this, of, steps = it.step * (is_core ? -2 : -1)]
          { step_clocks(of, steps, std::nullopt); });
}

auto fault_injector::pick_clocks(std::mt19937_64& random) -> clock_group
{
    auto const control = system_.names('c');
    switch (random() % 5)
    {
    case 0:
        return {pick(random, control, 1), {}};
    case 1:
        return {control, {}};
    case 2:
        return {pick(random, system_.names('e'), 1 + random() % 4), {}};
    case 3:
        return {{}, pick_workers(random)};
    default:
        return {system_.names(), pick_workers(random)};
    }
}

/// A time of day that jumps excuses nothing, so that it is no disturbance.
auto fault_injector::step_clocks(clock_group const& of, milliseconds step,
                                 std::optional<duration> down) -> void
{
    for (auto const& name : of.processes)
    {
        system_.at(name).clock_offset += step;
        down ? kill(name, *down) : system_.reload(name);
    }
    for (auto* const it : of.workers)
    {
        it->step_clock(step);
        if (down && it->is_up())
        {
            it->crash(true);
            disturb(it->name(), *down, [this, it] { start_again(*it, true); });
        }
    }
}

auto fault_injector::kill_all(names const& of, duration down) -> void
{
    for (auto const& name : of)
    {
        kill(name, down);
    }
}

auto fault_injector::is_last_life(worker& it, std::mt19937_64& random) -> bool
{
    constexpr std::size_t most = 6; ///< a share of the workers
    constexpr std::uint64_t share = 4;
    auto const is_last =
        chance(random, share) && gone_.size() < workers_.size() / most;
    if (is_last)
    {
        gone_.insert(&it);
    }
    return is_last;
}

auto fault_injector::send_away(worker& it, std::mt19937_64& random) -> void
{
    if (!it.is_up())
    {
        return;
    }
    auto const back = between(random, first_reuse, last_reuse);
    auto const is_last = is_last_life(it, random);
    disturbed_.mark_planned(it.name(), clock_.now());
    it.on_left = [this, &it, back, is_last]
    {
        disturbed_.mark_planned(it.name(), clock_.now());
        if (!is_last)
        {
            after(back, [this, &it] { start_again(it, false); });
        }
    };
    it.drain();
}

auto fault_injector::crash(worker& it, std::mt19937_64& random) -> void
{
    if (!it.is_up())
    {
        return;
    }
    auto const back = between(random, first_reuse, last_reuse);
    auto const keeps_id = chance(random, 2);
    it.crash(chance(random, 2));
    if (is_last_life(it, random))
    {
        disturbed_.mark(it.name(), clock_.now());
        return;
    }
    disturb(it.name(), back,
            [this, &it, keeps_id] { start_again(it, keeps_id); });
}

auto fault_injector::start_again(worker& it, bool keeps_id) -> void
{
    if (!it.is_up() && !gone_.contains(&it))
    {
        it.start(keeps_id);
    }
}

auto fault_injector::begin_farewell(farewell how, std::uint64_t seed)
    -> duration
{
    if (how == farewell::none)
    {
        return {};
    }
    auto const drains = how == farewell::drains;
    log_(drains ? "half of the workers drain" : "half of the workers crash");
    std::mt19937_64 random{seed};
    std::vector<worker*> of;
    std::ranges::transform(workers_, std::back_inserter(of),
                           [](auto const& it) { return it.get(); });
    for (auto* const it : pick(random, of, of.size() / 2))
    {
        drains ? send_away(*it, random) : crash(*it, random);
    }
    return drains ? drain_lead : crash_lead;
}

auto fault_injector::harm_workers(fault_kind kind, std::mt19937_64& random)
    -> void
{
    auto const time = between(random, milliseconds{300}, milliseconds{6000});
    auto const keeps_id = chance(random, 2);
    auto const dark = chance(random, 2);
    for (auto* const it : pick_workers(random))
    {
        if (!it->is_up())
        {
            continue;
        }
        if (kind == fault_kind::drain_workers)
        {
            send_away(*it, random);
            continue;
        }
        kind == fault_kind::crash_workers  ? it->crash(dark)
        : kind == fault_kind::late_workers ? it->set_late(time / 2)
                                           : it->freeze(true);
        disturb(it->name(), time,
                [this, it, life = it->life(), kind, keeps_id]
                {
                    it->life() != life || kind == fault_kind::crash_workers
                        ? start_again(*it, keeps_id)
                    : kind == fault_kind::late_workers ? it->set_late({})
                                                       : it->freeze(false);
                });
    }
}

auto fault_injector::restart_and_cut(std::mt19937_64& random) -> void
{
    auto const down = between(random, milliseconds{400}, milliseconds{1000});
    auto const lead = between(random, seconds{1}, seconds{3});
    auto const time = between(random, seconds{8}, seconds{10});
    auto const has_zone = !chance(random, 4);
    auto* const first = workers_[random() % workers_.size()].get();
    for (auto const& each : workers_)
    {
        auto* const it = each.get();
        if (!it->is_up() ||
            (it != first && !(has_zone && it->zone() == first->zone())))
        {
            continue;
        }
        it->crash(true);
        disturb(it->name(), down, [this, it] { start_again(*it, true); });
        after(down + lead,
              [this, it, time]
              {
                  it->links().set_harm({.holds_requests = true,
                                        .holds_answers = true,
                                        .holds_announcements = true});
                  disturb("l" + it->name(), time, [] {});
                  disturb(it->name(), time, [it] { it->links().set_harm({}); });
              });
    }
}

auto fault_injector::harm_links(fault_kind kind, std::mt19937_64& random)
    -> void
{
    auto const time = between(random, milliseconds{300}, milliseconds{5000});
    auto const requests = !chance(random, 3);
    auto const answers = !requests || !chance(random, 3);
    link_harm harm;
    auto const delay = between(random, milliseconds{50}, milliseconds{900});
    if (kind == fault_kind::cut_links)
    {
        harm.holds_requests = requests;
        harm.holds_answers = answers;
    }
    else if (kind == fault_kind::slow_links)
    {
        harm.delay = delay;
    }
    for (auto* const it : pick_workers(random))
    {
        // The end of a shorter fault would end a cut that outlasts leases.
        if (it->links().harm().holds_announcements)
        {
            continue;
        }
        it->links().set_harm(harm);
        disturb("l" + it->name(), time, [] {});
        if (kind == fault_kind::reset_links)
        {
            it->links().reset_connections();
        }
        disturb(it->name(), time,
                [it]
                {
                    if (!it->links().harm().holds_announcements)
                    {
                        it->links().set_harm({});
                    }
                });
    }
}

auto fault_injector::lose_all(bool with_disks, std::uint64_t seed) -> void
{
    std::mt19937_64 random{seed};
    log_(with_disks ? "all processes are killed, two disks are lost"
                    : "all processes are killed");
    kill_all(system_.names(), milliseconds{1000});
    if (with_disks)
    {
        // With a disk that was lost shortly before, no more than two.
        auto const is_recent = clock_.now() < disk_counts_from_;
        for (auto const& name :
             pick(random, system_.names('c'), is_recent ? 1 : 2))
        {
            system_.wipe(name);
        }
    }
}

auto fault_injector::repair() -> void
{
    for (auto const& name : system_.names())
    {
        system_.signal(name, SIGCONT);
        system_.start(name);
    }
    for (auto const& it : workers_)
    {
        it->links().set_harm({});
        it->set_late({});
        it->freeze(false);
        start_again(*it, true);
    }
}

} // namespace apricotlb::soak
