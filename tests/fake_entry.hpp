/// Stand-ins of the entry's ports: a control leader's view, log and metrics.
#ifndef APRICOTLB_TESTS_FAKE_ENTRY_HPP
#define APRICOTLB_TESTS_FAKE_ENTRY_HPP

#include "adapters/sha256.hpp"
#include "core/entry/entry_view.hpp"
#include "core/state/commands.hpp"
#include "ports/key_log.hpp"
#include "ports/metrics.hpp"

#include <apricotlb/config.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb
{

/// Counts by name and label.
struct fake_metrics
{
    std::map<std::pair<std::string, std::string>, int> counts;

    auto count(std::string_view name, std::string_view label) -> void
    {
        ++counts[{std::string{name}, std::string{label}}];
    }
    auto record(std::string_view /*name*/, std::string_view /*label*/,
                duration /*d*/) -> void
    {
    }
    [[nodiscard]] auto of(std::string const& name,
                          std::string const& label) const -> int
    {
        auto const it = counts.find({name, label});
        return it == counts.end() ? 0 : it->second;
    }
};

static_assert(metrics_port<fake_metrics>);

/// A model of the log's keys, shared by entries. Commands are applied at once
/// unless held back.
class fake_key_log
{
public:
    using callback = std::function<void(result<apply_result>)>;

    auto submit(command const& what, callback done) -> void
    {
        submitted.push_back(what);
        if (held)
        {
            waiting.emplace_back(what, std::move(done));
            return;
        }
        if (down)
        {
            done(fail(error_kind::no_leader, "no leader"));
            return;
        }
        done(std::visit([this](auto const& it) { return apply(it); }, what));
    }

    /// Applies and answers what was held back.
    auto let_go() -> void
    {
        held = false;
        for (auto& [what, done] : std::exchange(waiting, {}))
        {
            done(
                std::visit([this](auto const& it) { return apply(it); }, what));
        }
    }

    /// Ends a run of an entry: its open keys become unknown.
    auto end_entry(entry_session const& session) -> void
    {
        for (auto& [name, it] : keys)
        {
            if (it.by.session == session && !it.closed)
            {
                it.closed = true;
            }
        }
    }

    template <class T>
    [[nodiscard]] auto count() const -> int
    {
        auto n = 0;
        for (auto const& it : submitted)
        {
            n += std::holds_alternative<T>(it) ? 1 : 0;
        }
        return n;
    }

    bool held{false};
    bool down{false};
    std::vector<command> submitted;
    std::vector<std::pair<command, callback>> waiting;

    struct record
    {
        begin_key by;
        bool closed{false};
        std::optional<key_outcome> outcome;
    };
    std::map<key_name, record> keys;

private:
    auto apply(begin_key const& it) -> result<apply_result>
    {
        apply_result out;
        auto const [at, fresh] = keys.try_emplace(it.name, record{it, {}, {}});
        auto const& old = at->second;
        if (fresh ||
            (old.by.session == it.session && old.by.request == it.request))
        {
            out.key = key_status{true, {}};
            return out;
        }
        if (old.by.digest != it.digest)
        {
            return apply_result::refuse(error_kind::key_reused, "");
        }
        if (!old.closed)
        {
            return apply_result::refuse(error_kind::request_in_progress, "");
        }
        if (!old.outcome)
        {
            return apply_result::refuse(error_kind::outcome_unknown, "");
        }
        out.key = key_status{false, old.outcome};
        return out;
    }
    auto apply(finish_key const& it) -> result<apply_result>
    {
        auto& old = keys.at(it.name);
        old.closed = true;
        old.outcome = it.outcome;
        return apply_result{};
    }
    auto apply(release_key const& it) -> result<apply_result>
    {
        keys.erase(it.name);
        return apply_result{};
    }
    template <class T>
    auto apply(T const& /*it*/) -> result<apply_result>
    {
        return fail(error_kind::internal, "not a command of an entry");
    }
};

static_assert(key_log_port<fake_key_log>);

/// Plays the control leader towards an entry's view.
class fake_leader
{
public:
    explicit fake_leader(zone_id zone = zone_id{"z"},
                         node_id node = node_id{"e1"})
        : view_(entry_view::builder{}
                    .node(std::move(node))
                    .run(incarnation{1})
                    .zone(std::move(zone))
                    .build())
    {
    }

    [[nodiscard]] auto view() -> entry_view& { return view_; }

    auto add_customer(std::string const& name, milliseconds latency,
                      permille vm_share = permille{1000}) -> void
    {
        contract_change it;
        it.value.customer = customer_id{name};
        it.value.version = contract_version{1};
        it.value.vm_share = vm_share;
        it.value.urgent_latency = latency;
        it.value.tokens = {hash_token(name + "-token")};
        it.at = ++contracts_;
        changes_.push_back(it);
    }

    auto add_backend(std::string const& id, std::string const& customer,
                     std::string const& service, std::string const& address,
                     int slots = 8, std::string const& zone = "z") -> void
    {
        backend_info it;
        it.id = backend_id{id};
        it.customer = customer_id{customer};
        it.service = service_name{service};
        it.address = url{address};
        it.zone = zone_id{zone};
        it.slots = slot_count{slots};
        it.connections = connection_count{8 * slots};
        backends_[it.id] = it;
        shares_[it.id] = {it.id, it.slots, it.connections};
    }

    auto remove_backend(std::string const& id) -> void
    {
        backends_.erase(backend_id{id});
    }

    auto grant(std::string const& id, int slots) -> void
    {
        shares_[backend_id{id}] = {backend_id{id}, slot_count{slots},
                                   connection_count{8 * slots}};
    }

    /// A heartbeat and its answer. The first one only names the leader; the
    /// next one brings shares.
    auto renew(time_point now) -> void
    {
        if (!std::exchange(known_, true))
        {
            answer_heartbeat(now);
        }
        answer_heartbeat(now);
    }

private:
    auto answer_heartbeat(time_point now) -> void
    {
        auto const beat = view_.make_heartbeat(now, {}, {}, {}, false);
        entry_heartbeat_answer it;
        it.number = beat.number;
        it.leader_term = term{1};
        it.session = incarnation{1};
        it.contracts_from = view_.contracts_revision();
        it.contracts_to = contracts_;
        it.contracts = std::exchange(changes_, {});
        it.backends_to = ++revision_;
        it.backends_complete = true;
        for (auto const& [id, info] : backends_)
        {
            it.backends.push_back({info, false});
        }
        for (auto const& [id, share] : shares_)
        {
            it.shares.push_back(share);
        }
        view_.take(it);
    }

    entry_view view_;
    bool known_{false};
    revision contracts_{};
    revision revision_{};
    std::vector<contract_change> changes_;
    std::map<backend_id, backend_info> backends_;
    std::map<backend_id, share> shares_;
};

} // namespace apricotlb

#endif
