/// Idempotency keys and their outcomes.
#ifndef APRICOTLB_CORE_STATE_KEY_REGISTRY_HPP
#define APRICOTLB_CORE_STATE_KEY_REGISTRY_HPP

#include "core/state/commands.hpp"
#include "core/state/contract_registry.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace apricotlb
{

/// What is recorded of a key's request.
enum class key_state : std::uint8_t
{
    open,    ///< the request runs
    unknown, ///< it may have run; its holder may still record the outcome
    done,    ///< its outcome is recorded
};

template <>
inline constexpr auto last_enumerator<key_state> = key_state::done;

/// One key with its holder.
struct key_record
{
    key_name name;
    request_digest digest;
    entry_session session;
    request_id request;
    wall_time at;
    key_state state{key_state::open};
    key_outcome outcome;

    static constexpr auto fields()
    {
        return field_list(field("name", &key_record::name),
                          field("digest", &key_record::digest),
                          field("session", &key_record::session),
                          field("request", &key_record::request),
                          field("at", &key_record::at),
                          field("state", &key_record::state),
                          field("outcome", &key_record::outcome));
    }
};

/// Hash of a key's name, for look-up only; never decides an order.
struct key_name_hash
{
    auto operator()(key_name const& it) const noexcept -> std::size_t
    {
        constexpr std::size_t prime = 1'099'511'628'211U;
        return std::hash<customer_id>{}(it.customer) * prime ^
               std::hash<idempotency_key>{}(it.key);
    }
};

/// Applies commands on keys. Each key is in one list: of its session while
/// it is open, of its customer afterwards in the order of the ends. Moving
/// it costs constant time. Expiry stops at the first key that is kept, so a
/// key may outlive its retention while an earlier one with a later time of
/// recording is kept. An open key never expires.
class key_registry
{
public:
    key_registry() = default;

    /// Takes the records in the order that snapshot() gives.
    explicit key_registry(std::vector<key_record> from);
    key_registry(key_registry const&) = delete;
    auto operator=(key_registry const&) -> key_registry& = delete;
    key_registry(key_registry&&) = default;
    auto operator=(key_registry&&) -> key_registry& = default;
    ~key_registry() = default;

    auto apply(begin_key const& it, revision at) -> apply_result;

    /// The first outcome on record stays; a later one gets it as the answer.
    auto apply(finish_key const& it, revision at) -> apply_result;

    /// Succeeds without a change when the key is not on record.
    auto apply(release_key const& it, revision at) -> apply_result;

    auto apply(end_session const& it, revision at) -> apply_result;

    /// Drops at most config::max_keys_expired_at_once; the rest follows with
    /// the next command. Keys of customers without a contract are kept for
    /// config::max_key_retention.
    auto apply(expire_keys const& it, revision at,
               contract_registry const& contracts) -> apply_result;

    [[nodiscard]] auto find(key_name const& name) const -> key_record const*;

    /// Number of keys on record.
    [[nodiscard]] auto size() const -> std::size_t { return keys_.size(); }

    /// Sessions that hold open keys.
    [[nodiscard]] auto open_sessions() const -> std::vector<entry_session>;

    /// Open keys of a session in the order of their begin.
    [[nodiscard]] auto open_keys(entry_session const& session) const
        -> std::vector<key_name>;

    [[nodiscard]] auto snapshot() const -> std::vector<key_record>;

private:
    struct key_slot;
    using slot_list = std::list<key_slot*>;
    struct key_slot
    {
        key_record record;
        slot_list::iterator position;
    };

    auto close(key_slot& it, key_state state) -> void;
    auto refuse_non_holder(key_name const& name) const -> apply_result;

    std::unordered_map<key_name, key_slot, key_name_hash> keys_;
    std::map<entry_session, slot_list> open_;
    std::map<customer_id, slot_list> ended_;
};

} // namespace apricotlb

#endif
