#include "app/roles.hpp"

#include "adapters/delayed_files.hpp"
#include "adapters/disk_log.hpp"
#include "adapters/json_codec.hpp"
#include "adapters/log.hpp"
#include "adapters/posix_files.hpp"
#include "adapters/sha256.hpp"
#include "adapters/soup_client.hpp"
#include "adapters/soup_server.hpp"
#include "adapters/soup_workers.hpp"
#include "app/control_role.hpp"
#include "app/entry_node.hpp"
#include "app/load_log.hpp"
#include "app/process.hpp"

#include <apricotlb/result.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace apricotlb
{

namespace
{

using entry = entry_node<glib_clock, transport, soup_server, soup_client,
                         json_codec, token_hasher, metrics>;

logger const role_log{"role"};

/// Run worker port of the native interface, whose workers are sent no runs.
/// Every order is answered with no_answer.
struct no_run_workers
{
    template <class Order>
    auto send(Order const&, std::function<void(order_answer)> done) -> void
    {
        done({});
    }
    auto send(poll_order const&, std::function<void(poll_answer)> done) -> void
    {
        done({});
    }
};

static_assert(run_worker_port<no_run_workers>);

using log_files = delayed_files<glib_clock, posix_files>;
using control = control_role<glib_clock, transport, disk_log<log_files>,
                             soup_workers, no_run_workers, msgpack_codec,
                             snapshot_codec, json_codec, metrics>;

/// Logs a reload of the settings on SIGHUP and when their file has changed.
auto watch_settings(process_start const& start, process_role role,
                    glib_clock& clock, unix_signals& loop)
    -> std::unique_ptr<settings_watch<glib_clock>>
{
    auto watch = std::make_unique<settings_watch<glib_clock>>(
        clock, start.file, role,
        [&clock](result<settings> const& it)
        {
            log_reload(it);
            apply_clock_offset(it, clock);
        });
    loop.on_reload([&settings_file = *watch] { settings_file.reload(); });
    return watch;
}

/// The control role with the adapters that it runs on.
class control_process
{
public:
    control_process(settings const& own, shared_key key, glib_clock& clock,
                    metrics& counts, unix_signals& loop)
        : own_(own), clock_(clock), metrics_(counts), loop_(loop),
          node_(own.node, std::move(key), clock, counts),
          files_(clock, own.sync_delay,
                 random_bits{new_incarnation(clock).value()}),
          store_(files_, {own.data, own.disk_limit})
    {
    }

    auto start() -> result<void>
    {
        auto const run = new_incarnation(clock_);
        BOOST_OUTCOME_TRYV(
            node_.start(own_, peer_url(own_.peers_at.value()), run));
        BOOST_OUTCOME_TRY(options, replica_options::builder{}
                                       .self(own_.node)
                                       .bootstrap(first_members())
                                       .seed(random_bits{run.value()})
                                       .build());
        scheduler_policy policy;
        policy.guard = own_.guards == guard_mode::enabled;
        role_.emplace(clock_, node_.active_transport(), store_, workers_, runs_,
                      metrics_,
                      control_options{std::move(options), policy, {}, false});
        role_->on_failure([this](error const& it)
                          { loop_.quit(report_end(it)); });
        role_->on_disk_event(log_disk);
        node_.active_transport().on_life_refused(log_refused_life);
        node_.active_transport().on_message(
            [this](node_id const& from, peer_message it) {
                std::visit([&](auto& body) { take(from, std::move(body)); },
                           it);
            });
        return role_->start();
    }

private:
    /// The control processes of the settings as voters of a new group; none for
    /// a process that joins an existing group.
    [[nodiscard]] auto first_members() const -> raft_members
    {
        raft_members out;
        for (auto const& [id, at] : own_.control)
        {
            if (!own_.joins)
            {
                out.push_back({id, peer_url(at.value()), member_role::voter});
            }
        }
        return out;
    }

    auto take(node_id const& from, raft_message it) -> void
    {
        role_->take(from, std::move(it));
    }
    auto take(node_id const& from, entry_heartbeat it) -> void
    {
        role_->take(from, it);
    }
    auto take(node_id const& from, call it) -> void
    {
        role_->take(from, std::move(it));
    }

    /// Drops messages that only entry processes receive.
    template <class Other>
    auto take(node_id const&, Other) -> void
    {
        metrics_.count("apricotlb_peer_drops_total", "unexpected");
    }

    settings const& own_;
    glib_clock& clock_;
    metrics& metrics_;
    unix_signals& loop_;
    peer_node node_;
    log_files files_;
    disk_log<log_files> store_;
    soup_workers workers_;
    no_run_workers runs_;
    std::optional<control> role_;
};

/// The entry role with the adapters that it runs on.
class entry_process
{
public:
    entry_process(settings const& own, shared_key key, glib_clock& clock,
                  metrics& counts, unix_signals& loop)
        : own_(own), clock_(clock), metrics_(counts), loop_(loop),
          node_(own.node, std::move(key), clock, counts),
          source_({own.max_connections, own.max_body})
    {
    }

    auto start(url const& peers_at) -> result<void>
    {
        auto const run = new_incarnation(clock_);
        BOOST_OUTCOME_TRYV(node_.start(own_, peers_at, run));
        entry_.emplace(clock_, node_.active_transport(), source_, upstream_,
                       metrics_, own_, run);
        node_.active_transport().on_life_refused(log_refused_life);
        node_.active_transport().on_message(
            [this](node_id const& from, peer_message it) {
                std::visit([&](auto& body) { take(from, std::move(body)); },
                           it);
            });
        BOOST_OUTCOME_TRY(at, source_.listen(own_.http_at.value()));
        role_log.info("serving", {{"http", at}});
        return outcome::success();
    }

    auto stop(stop_signal it) -> void
    {
        entry_->role().on_exit(
            [this](request_count interrupted)
            {
                role_log.info("drained", {{"interrupted", interrupted}});
                loop_.quit(interrupted == request_count{0} ? exit_code::ok
                                                           : exit_code::failed);
            });
        if (!entry_->role().is_draining())
        {
            role_log.info("draining",
                          {{"in_flight", entry_->role().in_flight()}});
        }
        entry_->role().begin_drain(it);
    }

private:
    auto take(node_id const& from, entry_heartbeat_answer it) -> void
    {
        entry_->take(from, it);
    }
    auto take(node_id const& from, call_answer it) -> void
    {
        entry_->take(from, std::move(it));
    }

    /// Drops messages that only control processes receive.
    template <class Other>
    auto take(node_id const&, Other) -> void
    {
        metrics_.count("apricotlb_peer_drops_total", "unexpected");
    }

    settings const& own_;
    glib_clock& clock_;
    metrics& metrics_;
    unix_signals& loop_;
    peer_node node_;
    soup_server source_;
    soup_client upstream_;
    std::optional<entry> entry_;
};

} // namespace

auto run_control(process_start const& start) -> exit_code
{
    auto const& own = start.own;
    auto key = peer_key(own);
    if (key.has_error())
    {
        return report_end(key.error());
    }
    auto& clock = start.clock;
    metrics counts;
    include_log_counts(counts);
    unix_signals loop;
    control_process process{own, std::move(key).value(), clock, counts, loop};
    if (auto const started = process.start(); started.has_error())
    {
        return report_end(started.error());
    }
    role_log.info("started", {{"role", "control"}, {"node", own.node}});
    auto const watch =
        watch_settings(start, process_role::control, clock, loop);
    return loop.run([&loop](stop_signal) { loop.quit(exit_code::ok); });
}

auto run_entry(process_start const& start) -> exit_code
{
    auto const& own = start.own;
    auto key = peer_key(own);
    if (key.has_error())
    {
        return report_end(key.error());
    }
    auto& clock = start.clock;
    metrics counts;
    include_log_counts(counts);
    unix_signals loop;
    entry_process process{own, std::move(key).value(), clock, counts, loop};
    if (auto const started = process.start(peer_url(own.peers_at.value()));
        started.has_error())
    {
        return report_end(started.error());
    }
    role_log.info("started", {{"role", "entry"}, {"node", own.node}});
    auto const watch = watch_settings(start, process_role::entry, clock, loop);
    return loop.run([&process](stop_signal it) { process.stop(it); });
}

auto run_standalone(process_start const& start) -> exit_code
{
    auto const& loaded = start.own;
    auto& clock = start.clock;
    metrics counts;
    include_log_counts(counts);
    unix_signals loop;
    // Peer messages stay within this process, so the key is shared with no
    // other process and need not be read from a file.
    shared_key const key{std::to_string(new_incarnation(clock).value())};
    auto own = loaded;
    own.peers_at = endpoint{"inproc://control"};
    own.control = {{own.node, own.peers_at}};
    own.joins = false;
    auto entry_settings = own;
    entry_settings.node = node_id{own.node.value() + "-entry"};
    control_process control_side{own, key, clock, counts, loop};
    entry_process entry_side{entry_settings, key, clock, counts, loop};
    if (auto const started = control_side.start(); started.has_error())
    {
        return report_end(started.error());
    }
    if (auto const started = entry_side.start(url{"inproc://entry"});
        started.has_error())
    {
        return report_end(started.error());
    }
    role_log.info("started", {{"role", "standalone"}, {"node", loaded.node}});
    auto const watch =
        watch_settings(start, process_role::standalone, clock, loop);
    return loop.run([&entry_side](stop_signal it) { entry_side.stop(it); });
}

} // namespace apricotlb
