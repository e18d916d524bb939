/// The control role: a replica of the log and, on the leader, the handling of
/// all calls and heartbeats of entries and workers.
#ifndef APRICOTLB_APP_CONTROL_ROLE_HPP
#define APRICOTLB_APP_CONTROL_ROLE_HPP

#include "app/command_check.hpp"
#include "app/control_views.hpp"
#include "app/log_machine.hpp"
#include "app/peer_message.hpp"
#include "app/replica.hpp"
#include "app/workflow_driver.hpp"
#include "core/entry/call_table.hpp"
#include "core/group/membership.hpp"
#include "core/leader/ended_retention.hpp"
#include "core/leader/leader_state.hpp"
#include "core/leader/overload_guard.hpp"
#include "core/leader/read_report.hpp"
#include "ports/clock.hpp"
#include "ports/log_store.hpp"
#include "ports/run_worker.hpp"
#include "ports/worker_client.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace apricotlb
{

/// Settings of a control process.
struct control_options
{
    replica_options replica;
    scheduler_policy policy;
    fleet_policy fleet;
    /// If true, processes discover each other and the leader removes lost
    /// members; if false, peers are the members that the log lists.
    bool discovers{false};
};

/// Encodings: Codec for commands, Snapshots for the state, Json for the views
/// that operators and customers read.
template <clock_port Clock, class Transport, log_store_port Store,
          worker_client_port Workers, run_worker_port Runs, class Codec,
          class Snapshots, class Json, class Metrics>
class control_role
{
public:
    control_role(Clock& clock, Transport& transport, Store& store,
                 Workers& workers, Runs& runs, Metrics& metrics,
                 control_options options)
        : clock_(clock), transport_(transport), raft_link_(transport),
          workers_(workers), runs_(runs), metrics_(metrics),
          policy_(options.policy), discovers_(options.discovers),
          self_(options.replica.self), random_(options.replica.seed),
          replica_(clock, raft_link_, store, machine_,
                   std::move(options.replica)),
          workflows_(clock, runs, metrics, leader_log{this}, options.fleet),
          retention_(clock.now())
    {
        machine_.on_restored([this] { retention_.restart(clock_.now()); });
        machine_.on_applied(
            [this](command const& it, apply_result const& result)
            { on_command_applied(it, result); });
        replica_.on_leadership([this](bool is_leading, term in_term)
                               { change_leadership(is_leading, in_term); });
        replica_.on_role([this](role_change const& it) { report_role(it); });
        replica_.on_disk_event(
            [this](disk_event it, std::string const& cause)
            {
                metrics_.count(metric::disk_events, name_of(it));
                if (on_disk_event_)
                {
                    on_disk_event_(it, cause);
                }
            });
    }
    control_role(control_role const&) = delete;
    auto operator=(control_role const&) -> control_role& = delete;
    ~control_role()
    {
        if (timer_)
        {
            clock_.cancel_timer(*timer_);
        }
    }

    /// Called once when the disk has failed; the process must then exit.
    auto on_failure(std::function<void(error const&)> callback) -> void
    {
        replica_.on_failure(std::move(callback));
    }

    /// Called when the disk is full, and on what is refused for it.
    auto
    on_disk_event(std::function<void(disk_event, std::string const&)> callback)
        -> void
    {
        on_disk_event_ = std::move(callback);
    }

    /// Called on the leader every config::fleet_report_interval with the state
    /// of the fleet and the work that has waited for longest.
    auto on_fleet(
        std::function<void(fleet_summary const&, waiting_work const&)> callback)
        -> void
    {
        workflows_.on_report(std::move(callback));
    }

    /// Called on the leader for ends and stops of runs that no list of a worker
    /// explains, and for the other kinds of run_event;
    /// config::max_logged_run_events bounds them.
    auto on_run_event(std::function<void(run_event const&)> callback) -> void
    {
        workflows_.on_run_event(std::move(callback));
    }

    /// Called on the leader for a refused submission, once in
    /// config::refusal_log_interval.
    auto on_refusal(std::function<void(refused_workflow const&)> callback)
        -> void
    {
        workflows_.on_refusal(std::move(callback));
    }

    /// Called on the leader every config::fleet_report_interval with the reads
    /// that it has answered, if any.
    auto on_reads(std::function<void(read_report const&)> callback) -> void
    {
        on_reads_ = std::move(callback);
    }

    /// Called when this process has become the leader.
    auto on_leading(std::function<void(term)> callback) -> void
    {
        on_leading_ = std::move(callback);
    }
    /// Called after each change of the role, the term or the known leader.
    auto on_role(std::function<void(role_change const&)> callback) -> void
    {
        on_role_ = std::move(callback);
    }
    /// Returns the load of the replica since the last call.
    [[nodiscard]] auto take_load() -> replica_load
    {
        return replica_.take_load();
    }

    /// Loads the log and joins the group.
    auto start() -> result<void>
    {
        BOOST_OUTCOME_TRYV(replica_.start());
        workflows_.set_log_at_start(
            revision{replica_.status().log.last.value()});
        arm();
        return outcome::success();
    }

    /// Handles a message of another process.
    auto take(node_id const& from, raft_message it) -> void
    {
        raft_link_.take(from, std::move(it));
    }
    auto take(node_id const& from, entry_heartbeat const& it) -> void
    {
        if (!is_leader())
        {
            return;
        }
        resume_after_gap();
        if (auto answer = leader_->on_heartbeat(it, clock_.now()))
        {
            transport_.send(from, peer_message{std::move(*answer)});
        }
        resolve_waiting();
        execute_actions();
    }
    auto take(node_id const& from, call it) -> void
    {
        if (!is_leader())
        {
            // A call that is open here stays so: its proposal may be committed.
            send_refusal(
                from, it.id,
                {error_kind::not_leader, "this process is not the leader"},
                is_in_office() ? "without_lease"
                               : name_of(error_kind::not_leader));
            return;
        }
        resume_after_gap();
        call_origin const caller{from, it.id};
        if (!open_calls_.insert(caller).second)
        {
            auto const kind = kind_of(it.body);
            metrics_.count(metric::call_copies, name_of(kind));
            // The only answer to a submission accepts or refuses it.
            if (kind == call_kind::change)
            {
                answer_copy(caller);
            }
            return;
        }
        std::visit([&](auto& body) { serve(caller, std::move(body)); },
                   it.body);
        execute_actions();
    }

    [[nodiscard]] auto is_leader() const -> bool
    {
        return leader_.has_value() && replica_.is_leader();
    }
    /// True for the leader of the current term, with or without its lease.
    [[nodiscard]] auto is_in_office() const -> bool
    {
        return leader_.has_value();
    }
    [[nodiscard]] auto status() const -> replica_status
    {
        return replica_.status();
    }
    [[nodiscard]] auto leader() const -> std::optional<node_id>
    {
        return replica_.leader();
    }
    [[nodiscard]] auto state() const -> state_machine const&
    {
        return machine_.state();
    }

private:
    using machine_type = log_machine<Codec, Snapshots>;

    /// The log as the workflow scheduler uses it.
    struct leader_log
    {
        control_role* role;

        [[nodiscard]] auto is_current() const -> bool
        {
            return role->is_leader();
        }
        auto propose(command const& it,
                     std::function<void(result<void>)> done) const -> void
        {
            role->replica_.propose(
                Codec::encode(it),
                [done = std::move(done)](result<log_index> got)
                {
                    done(got ? result<void>{outcome::success()}
                             : result<void>{outcome::failure(got.error())});
                },
                proposal_origin::leader);
        }
        auto resign() const -> void
        {
            role->metrics_.count("apricotlb_leadership_changes_total",
                                 "resigned");
            role->replica_.resign();
        }
    };

    /// The process to answer, and its id of the call.
    struct call_origin
    {
        node_id node;
        call_id id;

        auto operator<=>(call_origin const&) const = default;
    };

    struct refused_submission
    {
        error reason;
        time_point forgotten_at{};
    };

    // Timers.

    auto arm() -> void
    {
        tick_due_ = clock_.now() + config::scheduler_tick;
        timer_ = clock_.start_timer(config::scheduler_tick, [this] { tick(); });
    }

    auto tick() -> void
    {
        auto const now = clock_.now();
        overload_.record(now - tick_due_, now);
        arm();
        std::erase_if(refused_submissions_, [now](auto const& each)
                      { return now >= each.second.forgotten_at; });
        if (now - last_member_check_ >= config::heartbeat_interval)
        {
            last_member_check_ = now;
            check_members(now);
        }
        report_reads(now);
        if (!is_leader())
        {
            return;
        }
        resume_after_gap();
        leader_->tick(now, next_random());
        auto const wall = clock_.wall_now();
        auto const is_expiry_due =
            now - last_key_expiry_ >= config::key_expiry_interval;
        if (is_expiry_due)
        {
            last_key_expiry_ = now;
            if (auto const before = retention_.forgotten_before(wall, now))
            {
                propose_own(expire_workflows{*before});
            }
        }
        // One command removes a bounded number of keys.
        auto const& state = machine_.state();
        is_expiring_keys_ = (is_expiry_due || is_expiring_keys_) &&
                            state.keys().has_expired(wall, state.contracts());
        if (is_expiring_keys_)
        {
            propose_own(expire_keys{wall});
        }
        resolve_waiting();
        execute_actions();
    }

    /// Without discovery, adds the members of the log as peers. With
    /// discovery, the leader removes a lost member if that is safe.
    auto check_members(time_point now) -> void
    {
        auto const status = replica_.status().log;
        if (!discovers_)
        {
            for (auto const& peer : status.members)
            {
                if (peer.member.id != self_)
                {
                    transport_.add_peer(peer.member.id, peer.member.address);
                }
            }
            return;
        }
        if (!is_leader())
        {
            return;
        }
        if (auto const change = next_removal(status, self_, now))
        {
            replica_.change_member(
                *change,
                [this, id = change->id](result<log_index> done)
                {
                    metrics_.count(metric::member_changes,
                                   done ? "removed"
                                        : name_of(done.error().kind));
                });
        }
    }

    /// A step of a linear congruential generator; placement needs only evenly
    /// distributed bits.
    auto next_random() -> random_bits
    {
        random_ = random_ * 6364136223846793005U + 1442695040888963407U;
        return random_bits{random_ ^ (random_ >> 29U)};
    }

    // Leadership.

    /// Announcements are refused without the lease, so that nothing may expire
    /// by their absence when it returns.
    auto resume_after_gap() -> void
    {
        auto const now = clock_.now();
        if (now - last_lease_ > config::announce_interval)
        {
            leader_->resume(now);
        }
        last_lease_ = now;
    }

    auto report_role(role_change const& it) -> void
    {
        if (it.office)
        {
            metrics_.count(metric::office_ends, name_of(it.office->reason));
            if (it.office->length < config::short_office)
            {
                metrics_.count(metric::short_offices,
                               name_of(it.office->reason));
            }
        }
        if (on_role_)
        {
            on_role_(it);
        }
    }

    auto change_leadership(bool is_leading, term in_term) -> void
    {
        metrics_.count("apricotlb_leadership_changes_total",
                       is_leading ? "gained" : "lost");
        // A report is on the reads of one term.
        next_read_report_ = {};
        report_reads(clock_.now());
        if (is_leading)
        {
            leader_.emplace(machine_.state(), in_term, clock_.now(), policy_);
            last_lease_ = clock_.now();
            workflows_.start(machine_.state(), in_term);
            if (on_leading_)
            {
                on_leading_(in_term);
            }
            return;
        }
        leader_.reset();
        workflows_.stop();
        open_calls_.clear();
        for (auto const& [caller, at] : std::exchange(waiting_callers_, {}))
        {
            refuse(caller.node, caller.id, error_kind::not_leader,
                   "this process is no longer the leader");
        }
    }

    // The log.

    auto on_command_applied(command const& applied, apply_result const& result)
        -> void
    {
        if (leader_)
        {
            leader_->on_applied(applied, result, clock_.now());
        }
        record_end_time(applied);
        workflows_.on_applied(applied, machine_.state());
        if (!leader_)
        {
            return;
        }
        auto const contract_changed =
            !result.refused &&
            (std::holds_alternative<apply_contract>(applied) ||
             std::holds_alternative<remove_contract>(applied));
        if (contract_changed)
        {
            for (auto& push : leader_->pending_pushes())
            {
                transport_.send(push.entry,
                                peer_message{std::move(push.answer)});
            }
        }
    }

    /// Notes the time that a command may have given the record of a workflow.
    auto record_end_time(command const& it) -> void
    {
        auto const now = clock_.now();
        if (auto const* const cancel = std::get_if<cancel_workflow>(&it))
        {
            retention_.add(cancel->at, now);
        }
        else if (auto const* const ended = std::get_if<end_runs>(&it))
        {
            retention_.add(ended->at, now);
        }
        else if (auto const* const sent = std::get_if<submit_workflow>(&it);
                 sent != nullptr && sent->submitted != wall_time{})
        {
            retention_.add(sent->submitted, now);
        }
    }

    auto propose_own(command it) -> void
    {
        auto bytes = Codec::encode(it);
        replica_.propose(
            std::move(bytes),
            [this, it = std::move(it)](result<log_index> done)
            {
                if (done.has_error() && leader_)
                {
                    leader_->on_not_applied(it, clock_.now());
                }
            },
            proposal_origin::leader);
    }

    auto execute_actions() -> void
    {
        if (!leader_)
        {
            return;
        }
        for (auto& it : leader_->take_actions())
        {
            if (auto* const own = std::get_if<propose>(&it))
            {
                propose_own(std::move(own->value));
                continue;
            }
            auto const& send = std::get<send_command>(it);
            // A command is confirmed by the worker's next report only. The
            // scheduler repeats failed commands; here they are counted.
            workers_.send(send.to, send.value,
                          [this](result<void> done)
                          {
                              if (done.has_error())
                              {
                                  metrics_.count(
                                      "apricotlb_worker_command_failures_total",
                                      name_of(done.error().kind));
                              }
                          });
        }
    }

    // Calls.

    auto serve(call_origin caller, command request) -> void
    {
        if (auto const checked = check_command(request); checked.has_error())
        {
            answer(caller, apply_result::refuse(checked.error().kind,
                                                checked.error().detail));
            return;
        }
        if (is_registered(request))
        {
            answer(caller, apply_result{});
            return;
        }
        if (auto* const key = std::get_if<begin_key>(&request))
        {
            key->at = clock_.wall_now();
        }
        if (std::holds_alternative<evacuate_data_centre>(request) ||
            std::holds_alternative<return_data_centre>(request))
        {
            change_evacuation(caller, request);
            return;
        }
        propose_for(caller, request);
    }

    /// Answers a request that the state already holds without another entry,
    /// unless one that is still pending may reverse it.
    auto change_evacuation(call_origin const& caller, command const& it) -> void
    {
        auto const& state = machine_.state();
        if (pending_evacuations_ == 0 && state.evacuations().is_in_effect(it))
        {
            metrics_.count(metric::evacuations, "repeated");
            apply_result out;
            out.at = revision{state.applied().value()};
            answer(caller, std::move(out));
            return;
        }
        auto const* const label =
            std::holds_alternative<evacuate_data_centre>(it) ? "evacuated"
                                                             : "returned";
        ++pending_evacuations_;
        replica_.propose(
            Codec::encode(it),
            [this, caller, label](result<log_index> const& done)
            {
                --pending_evacuations_;
                metrics_.count(metric::evacuations,
                               done ? label : name_of(done.error().kind));
                answer_proposal(caller, done);
            },
            proposal_origin::system_operator);
    }

    auto serve(call_origin caller, backend_announcement it) -> void
    {
        leader_->on_announce(it, clock_.now());
        answer(caller, apply_result{});
    }

    auto serve(call_origin caller, worker_report it) -> void
    {
        auto got = leader_->on_report(it, clock_.now());
        if (got.has_error())
        {
            refuse(caller.node, caller.id, got.error().kind,
                   got.error().detail);
            return;
        }
        answer(caller, std::move(got).value());
    }

    auto serve(call_origin caller, worker_announcement const& it) -> void
    {
        workflows_.on_announcement(it);
        answer(caller, apply_result{});
    }

    auto serve(call_origin caller, contact_batch const& it) -> void
    {
        auto out = workflows_.on_contacts(it);
        if constexpr (intake_directory_port<Runs>)
        {
            out.moves = moves_of(caller.node, it);
        }
        answer(caller, std::move(out));
    }

    /// Names processes in the zones of the workers, so that control processes
    /// need not serve all of them.
    auto moves_of(node_id const& from, contact_batch const& batch) const
        -> std::vector<worker_move>
    {
        std::vector<worker_move> out;
        auto const add = [&](worker_id const& id)
        {
            auto const* const zone = workflows_.zone_of(id);
            auto to = zone == nullptr ? std::nullopt
                                      : runs_.intake_for(from, id, *zone);
            if (to)
            {
                out.push_back({id, std::move(*to)});
            }
        };
        for (auto const& it : batch.announcements)
        {
            add(it.value.instance.id);
        }
        for (auto const& it : batch.contacts)
        {
            add(it.instance.id);
        }
        return out;
    }

    auto serve(call_origin caller, leader_ping) -> void
    {
        answer(caller, apply_result{});
    }

    auto serve(call_origin caller, workflow_call request) -> void
    {
        auto const refuse_call = [&](error_kind kind, std::string detail)
        {
            if (request.action == workflow_action::submit)
            {
                refuse_submission(caller, {kind, std::move(detail)});
                return;
            }
            refuse(caller.node, caller.id, kind, std::move(detail));
        };
        auto const& contracts = machine_.state().contract_sets();
        auto const& table = machine_.state().workflows();
        if (!contracts.current())
        {
            refuse_call(error_kind::no_contracts, "no contracts are in force");
            return;
        }
        if (request.action == workflow_action::state)
        {
            count_read();
        }
        auto const found = contracts.match(request.host, request.path);
        if (!found)
        {
            refuse_call(error_kind::unknown_queue,
                        "no queue at " + request.host.value() + request.path);
            return;
        }
        if (request.action == workflow_action::submit)
        {
            submit(caller, *found->queue, workflow_id{std::string{found->rest}},
                   std::move(request.spec));
            return;
        }
        if (found->rest.empty())
        {
            answer(caller, workflow_answer{
                               {},
                               true,
                               task_count{static_cast<std::int64_t>(
                                   table.waiting_count(found->queue->name))}});
            return;
        }
        workflow_id const id{std::string{found->rest}};
        auto const state = table.state(id);
        auto const is_possible = id.value().size() <= config::max_name_length;
        if (request.action == workflow_action::cancel && is_possible)
        {
            cancel(caller, id);
        }
        else if (!state)
        {
            refuse_unknown(caller, id);
        }
        else
        {
            answer(caller, workflow_answer{*state, false, {}});
        }
    }

    auto refuse_unknown(call_origin const& caller, workflow_id const& id)
        -> void
    {
        refuse(caller.node, caller.id, error_kind::unknown_workflow,
               "no workflow " + id.value());
    }

    /// The submission may be proposed already, or arrive later. All callers
    /// wait for one proposal, so that repetitions don't load a late log.
    auto cancel(call_origin const& caller, workflow_id const& id) -> void
    {
        auto const& state = machine_.state();
        if (auto const known = state.workflows().state(id);
            known && is_final(*known))
        {
            metrics_.count(metric::cancels, "recorded");
            apply_result out;
            out.at = revision{state.applied().value()};
            answer(caller, std::move(out));
            return;
        }
        auto const [pending, is_first] = pending_cancels_.try_emplace(id);
        pending->second.insert(caller);
        if (!is_first)
        {
            metrics_.count(metric::cancels, "joined");
            return;
        }
        metrics_.count(metric::cancels, "proposed");
        command const request{cancel_workflow{id, clock_.wall_now()}};
        replica_.propose(Codec::encode(request),
                         [this, id](result<log_index> const& done)
                         {
                             auto const callers = pending_cancels_.extract(id);
                             for (auto const& each : callers.mapped())
                             {
                                 answer_cancel(each, id, done);
                             }
                         });
    }

    static auto is_final(workflow_state it) -> bool
    {
        return it == workflow_state::cancelled ||
               it == workflow_state::completed || it == workflow_state::failed;
    }

    auto answer_cancel(call_origin const& caller, workflow_id const& id,
                       result<log_index> const& done) -> void
    {
        if (!done)
        {
            answer_proposal(caller, done);
            return;
        }
        auto const& applied = machine_.last_result();
        if (applied.refused)
        {
            refuse(caller.node, caller.id, *applied.refused, applied.detail);
        }
        else if (!machine_.state().workflows().state(id))
        {
            refuse_unknown(caller, id);
        }
        else
        {
            answer(caller, applied);
        }
    }

    auto submit(call_origin const& caller, queue_contract const& terms,
                workflow_id const& id, std::optional<workflow_spec> spec)
        -> void
    {
        auto const& table = machine_.state().workflows();
        if (table.state(id))
        {
            answer(caller, workflow_answer{*table.state(id), false, {}});
            return;
        }
        if (auto const known = refused_submissions_.find(caller);
            known != refused_submissions_.end())
        {
            refuse(caller.node, caller.id, known->second.reason);
            return;
        }
        // A refusal of another copy would say that the workflow is not
        // accepted.
        if (auto const pending = pending_submissions_.find(id);
            pending != pending_submissions_.end())
        {
            pending->second.insert(caller);
            return;
        }
        if (overload_.is_overloaded())
        {
            refuse_submission(
                caller, {error_kind::overloaded,
                         "the leader is behind with the work that it has"});
            return;
        }
        if (spec)
        {
            spec->id = id;
        }
        auto const checked =
            spec ? check(*spec)
                 : result<void>{fail(error_kind::bad_request,
                                     "the request body is missing")};
        if (checked.has_error())
        {
            refuse(caller.node, caller.id, checked.error().kind,
                   checked.error().detail);
            return;
        }
        if (table.live().size() >= config::max_live_workflows)
        {
            refuse_submission(caller,
                              {error_kind::queue_full,
                               "the limit on unfinished workflows is reached"});
            return;
        }
        if (auto const decided = workflows_.admit(*spec, terms);
            decided.is_refused())
        {
            refuse_submission(caller, refusal_of(decided));
            return;
        }
        pending_submissions_[id].insert(caller);
        command const request{
            submit_workflow{std::move(*spec), terms, clock_.wall_now()}};
        replica_.propose(Codec::encode(request),
                         [this, id](result<log_index> const& done)
                         {
                             if (done.has_error())
                             {
                                 workflows_.on_submission_dropped(id);
                             }
                             auto const callers =
                                 pending_submissions_.extract(id);
                             for (auto const& each : callers.mapped())
                             {
                                 answer_submission(each, done);
                             }
                         });
    }

    auto answer_submission(call_origin const& caller,
                           result<log_index> const& done) -> void
    {
        auto const is_final =
            done.has_error() && (done.error().kind == error_kind::queue_full ||
                                 done.error().kind == error_kind::disk_full);
        if (is_final)
        {
            refuse_submission(caller, done.error());
            return;
        }
        answer_proposal(caller, done);
    }

    /// Refuses a submission and all copies of it: the caller has given up once
    /// it has the answer, and a copy that is still under way would be accepted
    /// once the reason has passed.
    auto refuse_submission(call_origin const& caller, error reason) -> void
    {
        refuse(caller.node, caller.id, reason);
        refused_submissions_[caller] = {std::move(reason),
                                        clock_.now() + config::call_timeout};
    }

    /// Proposes a command and answers its caller once it has been applied.
    auto propose_for(call_origin const& caller, command const& it) -> void
    {
        replica_.propose(
            Codec::encode(it),
            [this, caller](result<log_index> const& done)
            { answer_proposal(caller, done); },
            origin_of(it));
    }

    static auto origin_of(command const& it) -> proposal_origin
    {
        return std::holds_alternative<apply_contract_set>(it) ||
                       std::holds_alternative<apply_contract>(it) ||
                       std::holds_alternative<remove_contract>(it)
                   ? proposal_origin::system_operator
                   : proposal_origin::caller;
    }

    auto answer_proposal(call_origin const& caller,
                         result<log_index> const& done) -> void
    {
        if (done.has_error())
        {
            refuse(caller.node, caller.id, done.error().kind,
                   done.error().detail);
            return;
        }
        answer(caller, machine_.last_result());
    }

    auto serve(call_origin caller, query it) -> void
    {
        count_read();
        auto text = read(it);
        if (text.has_error())
        {
            refuse(caller.node, caller.id, text.error().kind,
                   text.error().detail);
            return;
        }
        answer(caller, query_answer{std::move(text).value()});
    }

    auto serve(call_origin caller, change_member it) -> void
    {
        auto const kind = it.action == member_action::add
                              ? member_change_kind::add_learner
                              : member_change_kind::remove;
        replica_.change_member({kind, it.id, it.address},
                               [this, caller](result<log_index> done)
                               {
                                   if (done.has_error())
                                   {
                                       refuse(caller.node, caller.id,
                                              done.error().kind,
                                              done.error().detail);
                                       return;
                                   }
                                   apply_result out;
                                   out.at = revision{done.value().value()};
                                   answer(caller, std::move(out));
                               });
    }

    auto serve(call_origin caller, await_in_force it) -> void
    {
        waiting_callers_[caller] = it.at;
        resolve_waiting();
    }

    auto resolve_waiting() -> void
    {
        if (!leader_)
        {
            return;
        }
        auto const now = clock_.now();
        for (auto it = waiting_callers_.begin(); it != waiting_callers_.end();)
        {
            if (!leader_->in_force(it->second, now))
            {
                ++it;
                continue;
            }
            answer(it->first, in_force{it->second});
            it = waiting_callers_.erase(it);
        }
    }

    /// True for a registration that repeats the recorded one. Workers register
    /// after every restart; only a changed registration is written to the log.
    [[nodiscard]] auto is_registered(command const& it) const -> bool
    {
        auto const* const worker = std::get_if<register_worker>(&it);
        if (worker == nullptr)
        {
            return false;
        }
        auto const* const recorded =
            machine_.state().workers().find(worker->info.id);
        return recorded != nullptr && recorded->info == worker->info;
    }

    /// Tells an entry that its call is here, so that it waits for the answer.
    /// Entries of earlier versions wait for their next repetition.
    auto answer_copy(call_origin const& caller) -> void
    {
        call_failure out{error_kind::no_leader,
                         "the call is open at the leader", self_};
        transport_.send(caller.node,
                        peer_message{call_answer{caller.id, std::move(out)}});
    }

    template <class Body>
    auto answer(call_origin const& caller, Body body) -> void
    {
        open_calls_.erase(caller);
        transport_.send(caller.node,
                        peer_message{call_answer{caller.id, std::move(body)}});
    }

    auto refuse(node_id const& to, call_id id, error_kind kind,
                std::string detail) -> void
    {
        refuse(to, id, error{kind, std::move(detail)});
    }
    auto refuse(node_id const& to, call_id id, error const& reason) -> void
    {
        open_calls_.erase({to, id});
        send_refusal(to, id, reason, name_of(reason.kind));
    }
    /// label is how the refusal is counted.
    auto send_refusal(node_id const& to, call_id id, error const& reason,
                      std::string_view label) -> void
    {
        metrics_.count("apricotlb_call_refusals_total", label);
        call_failure out{reason.kind, reason.detail, std::nullopt,
                         reason.retry_after};
        if (reason.kind == error_kind::not_leader)
        {
            out.leader = replica_.leader();
        }
        transport_.send(to, peer_message{call_answer{id, std::move(out)}});
    }

    // Reads.

    /// A read that shows older contracts than one before can be traced by the
    /// reports: they tell which leader answered by which version.
    auto count_read() -> void
    {
        auto const& current = machine_.state().contract_sets().current();
        auto const version =
            current ? current->version : contract_set_version{};
        if (reads_.reads == 0)
        {
            reads_.in_term = replica_.status().log.in_term;
            reads_.first = version;
        }
        ++reads_.reads;
        reads_.last = version;
    }

    auto report_reads(time_point now) -> void
    {
        if (now < next_read_report_ || reads_.reads == 0)
        {
            return;
        }
        next_read_report_ = now + config::fleet_report_interval;
        auto const out = std::exchange(reads_, {});
        if (on_reads_)
        {
            on_reads_(out);
        }
    }

    auto read(query const& request) -> result<std::string>
    {
        auto const& state = machine_.state();
        switch (request.kind)
        {
        case query_kind::contracts:
            return Json::encode(make_contracts(state, request.customer));
        case query_kind::workers:
            return Json::encode(make_workers(state));
        case query_kind::backends:
            return Json::encode(make_backends(*leader_));
        case query_kind::jobs:
            return Json::encode(make_jobs(state, request.customer));
        case query_kind::job:
            return read_job(request);
        case query_kind::explain_task:
            return read_explanation(request);
        case query_kind::members:
            return Json::encode(make_members(replica_.status()));
        case query_kind::contract_set:
            if (auto const& current = state.contract_sets().current())
            {
                return current->document;
            }
            return fail(error_kind::no_contracts, "no contracts are in force");
        case query_kind::data_centres:
            return Json::encode(
                make_data_centres(state, workflows_.scheduler()));
        case query_kind::status:
        case query_kind::metrics:
            break;
        }
        return Json::encode(make_status(self_, replica_.status(), state,
                                        *leader_, clock_.now()));
    }

    auto read_job(query const& it) const -> result<std::string>
    {
        auto const* const job =
            machine_.state().jobs().find(it.customer, it.job);
        if (job == nullptr)
        {
            return fail(error_kind::unknown_job, "no job " + it.job.value() +
                                                     " of customer " +
                                                     it.customer.value());
        }
        return Json::encode(make_job(*job));
    }

    auto read_explanation(query const& it) const -> result<std::string>
    {
        task_id const task{it.job, it.task.value_or(task_index{})};
        BOOST_OUTCOME_TRY(explained,
                          leader_->schedule().explain(it.customer, task));
        return Json::encode(
            explanation_view{task, std::string{name_of(explained.reason)},
                             std::string{name_of(explained.moved)}, explained});
    }

    Clock& clock_;
    Transport& transport_;
    raft_link<Transport> raft_link_;
    Workers& workers_;
    Runs const& runs_;
    Metrics& metrics_;
    scheduler_policy policy_;
    bool discovers_;
    node_id self_;
    std::uint64_t random_;
    machine_type machine_;
    replica<Clock, raft_link<Transport>, Store, machine_type> replica_;
    std::optional<leader_state> leader_;
    std::function<void(term)> on_leading_;
    std::function<void(role_change const&)> on_role_;
    std::function<void(read_report const&)> on_reads_;
    read_report reads_;             ///< since the last report
    time_point next_read_report_{}; ///< not before
    std::function<void(disk_event, std::string const&)> on_disk_event_;
    workflow_driver<Clock, Runs, leader_log, Metrics> workflows_;
    ended_retention retention_;
    std::map<call_origin, revision> waiting_callers_;
    std::set<call_origin> open_calls_; ///< without an answer
    overload_guard overload_;
    time_point tick_due_{};
    time_point last_lease_{}; ///< when the lease was last seen
    /// Callers to answer once a proposed workflow has been committed.
    std::map<workflow_id, std::set<call_origin>> pending_submissions_;
    std::map<call_origin, refused_submission> refused_submissions_;
    /// Callers to answer once a proposed cancel has been committed.
    std::map<workflow_id, std::set<call_origin>> pending_cancels_;
    /// Proposed commands on evacuations whose outcome is open.
    std::size_t pending_evacuations_{0};
    time_point last_key_expiry_{};
    bool is_expiring_keys_{false}; ///< keys that are due may be left
    time_point last_member_check_{};
    std::optional<timer_id> timer_;
};

} // namespace apricotlb

#endif
