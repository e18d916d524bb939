// A follower is frozen for some seconds under load. While it catches up, the
// leader takes a snapshot, drops entries that the follower still needs, and
// ends with a segmentation fault.
#include "../deployment.hpp"

#include <array>

namespace
{

constexpr std::size_t clients{64};
constexpr std::size_t spec_bytes{4000};
/// Accepted jobs, each of which is cancelled, from one snapshot of the leader
/// to the next: a sixteenth of the disk limit in entries of the log.
constexpr std::int64_t jobs_per_snapshot{1947};
/// The log keeps two such spans before a snapshot, so that the third snapshot
/// drops entries that a frozen follower has not got.
constexpr std::int64_t snapshots{3};
constexpr std::int64_t jobs_before_freeze{300};
/// How long before the third snapshot the follower wakes up.
constexpr std::array<review::milliseconds, 6> times_before_snapshot{
    130, 70, 200, 100, 170, 40};
/// Longest freeze of a machine of the core in the days of the site.
constexpr review::milliseconds max_freeze{7400};
constexpr review::milliseconds longest_run{60'000};
constexpr review::milliseconds restart_time{3000};
constexpr int wanted_ends{3};
constexpr std::size_t most_tries{16};

/// Submits a job, cancels it once it is accepted, and goes on with the next.
class client
{
public:
    client(review::event_loop& loop, review::deployment const& system)
        : loop_(loop), system_(system),
          body_(review::job_body(1, std::string(spec_bytes, 'x'), false))
    {
    }

    auto submit() -> void
    {
        if (is_over)
        {
            return;
        }
        auto id = std::to_string(++next_);
        id.insert(0, 16 - id.size(), '0');
        call("POST", id, body_,
             [this, id](review::http_reply const& it)
             {
                 if (it.status != 200)
                 {
                     ++refused;
                     loop_.after(10, [this] { submit(); });
                     return;
                 }
                 ++accepted;
                 call("DELETE", id, "",
                      [this](review::http_reply const&) { submit(); });
             });
    }

    std::int64_t accepted{0};
    std::int64_t refused{0};
    bool is_over{false};

private:
    auto call(std::string const& method, std::string const& id,
              std::string const& body,
              std::function<void(review::http_reply)> done) -> void
    {
        review::send_request(
            loop_, system_.front(static_cast<std::size_t>(next_ % 3)), method,
            "/jobs/" + id, {{"Host", "jobs.example"}, {"Timeout-Ms", "3000"}},
            body, 3000, std::move(done));
    }

    review::event_loop& loop_;
    review::deployment const& system_;
    std::string body_;
    std::int64_t next_{0};
};

auto play(std::string const& path) -> review::exit_status
{
    review::event_loop loop;
    review::record_file record{loop, path};
    review::deployment system{loop, record};
    if (!system.start())
    {
        return review::could_not_run;
    }
    loop.run_for(1000);
    client load{loop, system};
    for (std::size_t n = 0; n < clients; ++n)
    {
        load.submit();
    }
    auto const state = [&load]
    {
        return std::to_string(load.accepted) + " accepted, " +
               std::to_string(load.refused) + " refused";
    };
    auto ends = 0;
    for (std::size_t n = 0; n < most_tries; ++n)
    {
        auto const early =
            times_before_snapshot[n % times_before_snapshot.size()];
        auto const begin =
            (load.accepted / jobs_per_snapshot + 1) * jobs_per_snapshot;
        auto const freeze_at =
            (load.accepted < jobs_before_freeze ? 0 : begin) +
            jobs_before_freeze;
        auto const snapshot_at =
            freeze_at - jobs_before_freeze + snapshots * jobs_per_snapshot;
        auto const reaches = [&](std::int64_t jobs) {
            return [&, jobs]
            { return load.accepted >= jobs || !system.all_run(); };
        };
        if (!loop.wait(longest_run - loop.now(), reaches(freeze_at)) ||
            system.leader() > 2)
        {
            break;
        }
        auto const& follower = system.control_node((system.leader() + 1) % 3);
        record.line(state());
        if (review::has_trouble())
        {
            system.freeze(follower);
        }
        auto const frozen_at = loop.now();
        auto const is_near = [&, begin_jobs = load.accepted]
        {
            // Jobs that are accepted until then at the rate of the freeze.
            auto const time =
                std::max<review::milliseconds>(loop.now() - frozen_at, 1);
            auto const more = (load.accepted - begin_jobs) * early / time;
            return load.accepted + more >= snapshot_at || !system.all_run();
        };
        loop.run_for(500);
        loop.wait(max_freeze - 500, is_near);
        record.line(state());
        if (review::has_trouble())
        {
            system.thaw(follower);
        }
        record.line("after " + std::to_string(loop.now() - frozen_at) + " ms");
        loop.wait(1500, reaches(snapshot_at + jobs_per_snapshot));
        // The platform starts a process that has ended again.
        ends += system.restart_ended();
        if (loop.now() > longest_run || ends >= wanted_ends)
        {
            break;
        }
        loop.run_for(restart_time);
    }
    load.is_over = true;
    loop.run_for(1000);
    ends += system.restart_ended();
    auto const has_ended = ends > 0;
    auto const verdict =
        "processes have ended by themselves " + std::to_string(ends) + " times";
    record.line(verdict + "; " + state());
    std::cout << verdict << '\n';
    return has_ended ? review::broken : review::held;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    return argc < 2 ? review::could_not_run : play(argv[1]);
}
