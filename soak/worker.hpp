/// Stand-in for a worker of the users' platform, over real sockets.
#ifndef APRICOTLB_SOAK_WORKER_HPP
#define APRICOTLB_SOAK_WORKER_HPP

#include "soak/http.hpp"
#include "soak/ledger.hpp"
#include "soak/proxy.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace apricotlb::soak
{

struct worker_place
{
    std::string id;
    std::string zone;
    std::string rack;
    std::string listen_at;
    std::string proxy_at; ///< the address that it announces
    std::int64_t cpu{16000};
    std::int64_t mem_mb{62500};
};

/// Guards its capacity, obeys fences and leases, and lists ends until they are
/// acknowledged.
class worker
{
public:
    worker(glib_clock& clock, ledger& seen, std::uint64_t seed,
           worker_place place, std::vector<std::string> control);
    worker(worker const&) = delete;
    auto operator=(worker const&) -> worker& = delete;

    /// Begins a life, under the same id or a new one, that knows nothing of
    /// before.
    auto start(bool keeps_id) -> void;
    /// Ends at once. If `dark`, connections stay open without an answer, and
    /// the next life may get the calls that are sent meanwhile.
    auto crash(bool dark) -> void;
    /// Announces that it drains, and leaves once that is acknowledged, or a
    /// while later if nobody acknowledges it.
    auto drain() -> void;
    /// Called when a worker that drained has left.
    std::function<void()> on_left;
    /// Tail latency that a serving task lists for each task that scavenges
    /// beside it.
    auto set_disturbance_ms(std::int64_t it) -> void { disturbance_ms_ = it; }
    /// Ends what runs if the lease is over. The soak may have stood still since
    /// then; on a worker of its own the time would not have been missed.
    auto end_if_lapsed() -> void;
    /// Called before a start is carried out.
    std::function<void()> before_start;
    /// Carries orders out only after a delay, and answers none meanwhile.
    auto set_late(duration delay) -> void { late_ = delay; }
    /// Sets the time of day, which its next life begins with. The clock of
    /// deadlines is not affected.
    auto step_clock(std::chrono::milliseconds it) -> void
    {
        clock_offset_ += it;
    }
    /// Stops reading and sending, as a suspended machine.
    auto freeze(bool frozen) -> void;

    [[nodiscard]] auto links() -> proxy& { return proxy_; }
    [[nodiscard]] auto name() const -> std::string { return "w" + place_.id; }
    [[nodiscard]] auto zone() const -> auto const& { return place_.zone; }
    [[nodiscard]] auto is_up() const -> bool { return is_up_; }
    [[nodiscard]] auto life() const -> int { return life_; }
    [[nodiscard]] auto room() const -> worker_room;

private:
    using json = nlohmann::json;

    struct run
    {
        run_key key;
        step_plan step;
        std::string checkpoint;
        duration work_left{};
        time_point since{};
        int pace{100}; ///< percent
        bool fails{false};
        timer_id end_timer;
    };
    struct ended
    {
        std::int64_t number{0};
        run_key key;
        std::string how;
        std::string checkpoint;
        /// The lease has lapsed since, so that it doesn't count as taken note
        /// of any more.
        bool lapsed_since{false};
    };

    [[nodiscard]] auto clock_ms() const -> std::int64_t;
    auto beat() -> void;
    auto take_beat_answer(std::string const& state, call_result const& it)
        -> void;
    /// Runs it later unless the life that asks for it has ended by then.
    auto in_life(duration after, std::function<void()> act) -> void;
    auto leave() -> void;
    auto end_life(std::string const& how) -> void;

    /// Notes when a start was ordered, also while the worker is frozen.
    auto note_order(http_text const& request, std::string const& from) -> void;
    auto serve(http_text const& request, http_server::reply const& reply)
        -> void;
    auto carry_out(std::string const& path, json const& body,
                   http_server::reply const& reply, bool is_late) -> void;
    auto reject(http_server::reply const& reply, char const* reason) -> void;
    auto start_run(json const& body, http_server::reply const& reply,
                   bool is_late) -> void;
    auto stop_run(json const& body, http_server::reply const& reply) -> void;
    auto pace_run(json const& body, http_server::reply const& reply) -> void;
    auto hold(json const& body, http_server::reply const& reply) -> void;
    [[nodiscard]] auto is_running(run_key const& it) const -> bool;
    auto arm_end(run& it) -> void;
    auto advance(run& it) -> void;
    auto save(run& it) -> void;
    auto end_run(std::string const& task, std::string const& how) -> void;
    auto answer_holds() -> void;
    auto check_lease() -> void;
    [[nodiscard]] auto lists() const -> std::string;

    glib_clock& clock_;
    ledger& ledger_;
    std::mt19937_64 random_;
    worker_place place_;
    std::vector<std::string> control_;
    http_server server_;
    proxy proxy_;
    std::unique_ptr<http_connection> beats_;
    std::string beat_to_;
    std::size_t next_control_{0};
    std::string id_;
    int life_{0};
    bool is_up_{false};
    bool is_frozen_{false};
    bool is_leaving_{false};
    std::string state_{"ready"};
    time_point clock_zero_{}; ///< where the clock of this life reads 0
    std::chrono::milliseconds clock_offset_{0}; ///< of the time of day
    std::int64_t born_{0};
    std::int64_t sequence_{0};
    std::int64_t fence_{0};
    std::int64_t deadline_{0};
    std::int64_t last_end_{0};
    std::int64_t checkpoints_{0};
    duration late_{};
    std::int64_t disturbance_ms_{0};
    std::map<std::string, run> runs_;
    std::map<std::string, std::int64_t> closed_;
    /// Task and number of a run, and how its last order came.
    std::map<std::pair<std::string, std::int64_t>, order_origin> ordered_;
    /// The worker began, or was no longer frozen. Orders from before are late.
    time_point reads_since_{};
    std::deque<ended> ends_;
    std::vector<std::function<void()>> holds_;
};

} // namespace apricotlb::soak

#endif
