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

/// State of the request with a key.
enum class key_state : std::uint8_t
{
    open,    ///< the request is in progress
    unknown, ///< it may have run; its entry may still record the outcome
    done,    ///< its outcome is recorded
};

template <>
inline constexpr auto last_enumerator<key_state> = key_state::done;

/// A key, and the request that began it.
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

/// Hash for look-up. No result depends on the order of iteration.
struct key_name_hash
{
    auto operator()(key_name const& it) const noexcept -> std::size_t
    {
        constexpr std::size_t prime = 1'099'511'628'211U;
        return std::hash<customer_id>{}(it.customer) * prime ^
               std::hash<idempotency_key>{}(it.key);
    }
};

/// Applies commands on keys. Each key is in one list: while it is open, in that
/// of its session, and then in that of its customer in the order in which the
/// requests ended. Moving a key takes constant time. Expiry of a customer's
/// keys stops at the first one that is kept, so a key may be kept beyond its
/// retention if a key before it in the list was begun later. Open keys do not
/// expire.
class key_registry
{
public:
    key_registry() = default;

    /// Expects the records in the order of snapshot().
    explicit key_registry(std::vector<key_record> from);
    key_registry(key_registry const&) = delete;
    auto operator=(key_registry const&) -> key_registry& = delete;
    key_registry(key_registry&&) = default;
    auto operator=(key_registry&&) -> key_registry& = default;
    ~key_registry() = default;

    auto apply(begin_key const& begin, revision at) -> apply_result;

    /// Keeps the first recorded outcome and returns it for a later one.
    auto apply(finish_key const& finish, revision at) -> apply_result;

    /// Succeeds without a change if the key is not recorded.
    auto apply(release_key const& release, revision at) -> apply_result;

    auto apply(end_session const& it, revision at) -> apply_result;

    /// Removes at most config::max_keys_expired_at_once keys; the next command
    /// continues. Keys of customers without a contract are kept for
    /// config::max_key_retention.
    auto apply(expire_keys const& it, revision at,
               contract_registry const& contracts) -> apply_result;

    [[nodiscard]] auto find(key_name const& name) const -> key_record const*;

    /// True if expire_keys would remove a key.
    [[nodiscard]] auto has_expired(wall_time now,
                                   contract_registry const& contracts) const
        -> bool;

    /// Number of recorded keys.
    [[nodiscard]] auto size() const -> std::size_t { return keys_.size(); }

    /// Sessions with open keys.
    [[nodiscard]] auto open_sessions() const -> std::vector<entry_session>;

    /// Open keys of a session in the order in which they were begun.
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
