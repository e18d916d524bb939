#include "core/state/key_registry.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace apricotlb
{

namespace
{

auto answer_at(revision at) -> apply_result
{
    apply_result answer;
    answer.at = at;
    return answer;
}

auto with_outcome(revision at, key_outcome outcome) -> apply_result
{
    auto answer = answer_at(at);
    answer.key = key_status{false, std::move(outcome)};
    return answer;
}

auto retention_of(customer_id const& customer,
                  contract_registry const& contracts) -> seconds
{
    auto const* const contract = contracts.find(customer);
    return contract == nullptr ? config::max_key_retention
                               : contract->key_retention;
}

/// True if the command comes from the request that began the key.
template <class Command>
auto is_holder(Command const& it, key_record const& record) -> bool
{
    return it.session == record.session && it.request == record.request;
}

} // namespace

key_registry::key_registry(std::vector<key_record> from)
{
    for (auto& it : from)
    {
        auto& slot = keys_[it.name];
        slot.record = std::move(it);
        auto& list = slot.record.state == key_state::open
                         ? open_[slot.record.session]
                         : ended_[slot.record.name.customer];
        slot.position = list.insert(list.end(), &slot);
    }
}

auto key_registry::apply(begin_key const& begin, revision at) -> apply_result
{
    auto const [found, added] = keys_.try_emplace(begin.name);
    auto& slot = found->second;
    auto& record = slot.record;
    if (added)
    {
        record.name = begin.name;
        record.digest = begin.digest;
        record.session = begin.session;
        record.request = begin.request;
        record.at = begin.at;
        auto& list = open_[begin.session];
        slot.position = list.insert(list.end(), &slot);
    }
    else if (record.digest != begin.digest)
    {
        return apply_result::refuse(
            error_kind::key_reused,
            "the idempotency key was used for a different request");
    }
    switch (record.state)
    {
    case key_state::open:
        break;
    case key_state::unknown:
        return apply_result::refuse(error_kind::outcome_unknown,
                                    "the first request with this idempotency "
                                    "key may have been executed");
    case key_state::done:
        return with_outcome(at, record.outcome);
    }
    if (!is_holder(begin, record))
    {
        return apply_result::refuse(
            error_kind::request_in_progress,
            "a request with this idempotency key is in progress");
    }
    auto answer = answer_at(at);
    answer.key = key_status{true, std::nullopt};
    return answer;
}

auto key_registry::apply(finish_key const& finish, revision at) -> apply_result
{
    auto const found = keys_.find(finish.name);
    if (found == keys_.end() || !is_holder(finish, found->second.record))
    {
        return refuse_non_holder(finish.name);
    }
    auto& slot = found->second;
    if (slot.record.state == key_state::done)
    {
        return with_outcome(at, slot.record.outcome);
    }
    if (!finish.outcome)
    {
        close(slot, key_state::unknown);
        return answer_at(at);
    }
    close(slot, key_state::done);
    slot.record.outcome = *finish.outcome;
    return with_outcome(at, slot.record.outcome);
}

auto key_registry::apply(release_key const& release, revision at)
    -> apply_result
{
    auto const found = keys_.find(release.name);
    if (found == keys_.end())
    {
        return answer_at(at);
    }
    auto& slot = found->second;
    if (!is_holder(release, slot.record))
    {
        return refuse_non_holder(release.name);
    }
    // Only the entry of the request can tell that it was never sent to a
    // backend server. The entry may release the key even after its session has
    // timed out, but not once an outcome is recorded.
    if (slot.record.state == key_state::done)
    {
        return with_outcome(at, slot.record.outcome);
    }
    if (slot.record.state == key_state::open)
    {
        auto const list = open_.find(slot.record.session);
        list->second.erase(slot.position);
        if (list->second.empty())
        {
            open_.erase(list);
        }
    }
    else
    {
        ended_[slot.record.name.customer].erase(slot.position);
    }
    keys_.erase(found);
    return answer_at(at);
}

auto key_registry::apply(end_session const& it, revision at) -> apply_result
{
    while (true)
    {
        auto const list = open_.find(it.session);
        if (list == open_.end())
        {
            return answer_at(at);
        }
        close(*list->second.front(), key_state::unknown);
    }
}

auto key_registry::apply(expire_keys const& it, revision at,
                         contract_registry const& contracts) -> apply_result
{
    std::size_t dropped{0};
    for (auto list = ended_.begin(); list != ended_.end();)
    {
        auto const retention = retention_of(list->first, contracts);
        auto& slots = list->second;
        while (!slots.empty() && dropped < config::max_keys_expired_at_once &&
               slots.front()->record.at + retention <= it.now)
        {
            // A copy, because erase() must not read the name from the node that
            // it destroys.
            auto const name = slots.front()->record.name;
            slots.pop_front();
            keys_.erase(name);
            ++dropped;
        }
        list = slots.empty() ? ended_.erase(list) : std::next(list);
    }
    return answer_at(at);
}

auto key_registry::has_expired(wall_time now,
                               contract_registry const& contracts) const -> bool
{
    return std::ranges::any_of(ended_,
                               [&](auto const& each)
                               {
                                   auto const& [customer, slots] = each;
                                   return !slots.empty() &&
                                          slots.front()->record.at +
                                                  retention_of(customer,
                                                               contracts) <=
                                              now;
                               });
}

auto key_registry::close(key_slot& it, key_state state) -> void
{
    if (it.record.state == key_state::open)
    {
        auto const from = open_.find(it.record.session);
        auto& to = ended_[it.record.name.customer];
        to.splice(to.end(), from->second, it.position);
        if (from->second.empty())
        {
            open_.erase(from);
        }
    }
    it.record.state = state;
}

auto key_registry::refuse_non_holder(key_name const& name) const -> apply_result
{
    return keys_.contains(name)
               ? apply_result::refuse(
                     error_kind::forbidden,
                     "the idempotency key belongs to another request")
               : apply_result::refuse(error_kind::not_found,
                                      "the idempotency key is not recorded");
}

auto key_registry::find(key_name const& name) const -> key_record const*
{
    auto const it = keys_.find(name);
    return it == keys_.end() ? nullptr : &it->second.record;
}

auto key_registry::open_sessions() const -> std::vector<entry_session>
{
    std::vector<entry_session> found;
    found.reserve(open_.size());
    for (auto const& [session, list] : open_)
    {
        found.push_back(session);
    }
    return found;
}

auto key_registry::open_keys(entry_session const& session) const
    -> std::vector<key_name>
{
    std::vector<key_name> found;
    if (auto const it = open_.find(session); it != open_.end())
    {
        for (auto const* slot : it->second)
        {
            found.push_back(slot->record.name);
        }
    }
    return found;
}

auto key_registry::snapshot() const -> std::vector<key_record>
{
    std::vector<key_record> taken;
    taken.reserve(keys_.size());
    auto const take = [&taken](auto const& lists)
    {
        for (auto const& [owner, list] : lists)
        {
            for (auto const* slot : list)
            {
                taken.push_back(slot->record);
            }
        }
    };
    take(ended_);
    take(open_);
    return taken;
}

} // namespace apricotlb
