// A worker is restarted as planned under its id while the entry process that
// takes its announcements is frozen. The departure of its former life waits in
// the frozen process and is taken for the end of the next one.
#include "../deployment.hpp"

namespace
{

constexpr review::milliseconds freeze_time{5000};
constexpr int tasks{12};

auto play(std::string const& path) -> review::exit_status
{
    review::event_loop loop;
    review::record_file record{loop, path};
    review::ledger all{loop, record};
    review::deployment system{loop, record};
    if (!system.start())
    {
        return review::could_not_run;
    }
    review::worker first{loop,
                         all,
                         record,
                         {"worker-1", "pool", "z1", system.worker_address(1),
                          system.controls()}};
    review::worker second{loop,
                          all,
                          record,
                          {"worker-2", "pool", "z2", system.worker_address(2),
                           system.controls(), 16000}};
    first.start();
    second.start();
    if (!loop.wait(10000, [&] { return first.beats_to() == system.intake(0); }))
    {
        return review::could_not_run;
    }
    loop.run_for(2000);

    auto frozen_at = loop.now();
    first.before_leaving = [&]
    {
        frozen_at = loop.now();
        if (review::has_trouble())
        {
            system.freeze(system.entry(0));
        }
    };
    first.drain_and_leave();
    if (!loop.wait(10000, [&] { return !first.is_up(); }))
    {
        return review::could_not_run;
    }
    loop.run_for(300);
    first.start();
    if (!loop.wait(10000, [&] { return first.is_acknowledged(); }))
    {
        return review::could_not_run;
    }
    auto is_accepted = false;
    system.call(
        1, "POST", "00000000000000a1", review::job_body(tasks, "0", true),
        [&](review::http_reply const& it) { is_accepted = it.status == 200; });
    if (!loop.wait(5000,
                   [&]
                   {
                       return is_accepted && first.running() > 0 &&
                              first.running() + second.running() == tasks;
                   }))
    {
        return review::could_not_run;
    }
    loop.run_for(std::max<review::milliseconds>(
        frozen_at + freeze_time - loop.now(), 0));
    if (review::has_trouble())
    {
        system.thaw(system.entry(0));
    }
    loop.run_for(8000);
    return system.all_run() ? review::conclude(all, record)
                            : review::could_not_run;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return argc < 2 ? review::could_not_run : play(argv[1]);
}
