#include "core/group/membership.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

/// Separates the address from the suffix in a member's id.
constexpr char suffix_mark = '~';

auto is_voter(member_status const& status) -> bool
{
    return status.member.role == member_role::voter;
}

} // namespace

auto member_id(std::string const& address, std::string const& suffix) -> node_id
{
    return node_id{suffix.empty() ? address : address + suffix_mark + suffix};
}

auto served_address(node_id const& id) -> std::string
{
    return id.value().substr(0, id.value().find(suffix_mark));
}

auto next_removal(raft_status const& status, node_id const& self,
                  time_point now) -> std::optional<member_change>
{
    auto const silent_time = [&](member_status const& it)
    { return it.member.id == self ? duration{0} : now - it.last_contact; };
    auto const is_alive = [&](member_status const& it)
    { return silent_time(it) < config::peer_timeout; };
    auto const voters = std::ranges::count_if(status.members, is_voter);
    auto const live_voters =
        std::ranges::count_if(status.members, [&](member_status const& it)
                              { return is_voter(it) && is_alive(it); });
    // Whether the live voters are a majority of the voters that remain after a
    // removal.
    auto const has_remaining_majority = live_voters >= (voters - 1) / 2 + 1;
    auto const serves_address_of_voter = [&](member_status const& it)
    {
        return std::ranges::any_of(status.members,
                                   [&](member_status const& other)
                                   {
                                       return is_voter(other) &&
                                              served_address(other.member.id) ==
                                                  served_address(it.member.id);
                                   });
    };
    // A learner takes a free place among the voters by itself, and the place of
    // its machine's former self once that one is removed. Only another one can
    // replace a silent voter, which may still come back with its disk.
    auto const has_replacement =
        static_cast<std::size_t>(voters) >= status.max_voters &&
        std::ranges::any_of(status.members,
                            [&](member_status const& it)
                            {
                                return !is_voter(it) && is_alive(it) &&
                                       !serves_address_of_voter(it) &&
                                       it.lag <=
                                           log_index{config::max_promotion_lag};
                            });
    for (auto const& member : status.members)
    {
        auto const is_replaced = std::ranges::any_of(
            status.members,
            [&](member_status const& other)
            {
                return other.member.id != member.member.id && is_alive(other) &&
                       served_address(other.member.id) ==
                           served_address(member.member.id);
            });
        auto const silent_period = silent_time(member);
        auto const is_dead =
            is_voter(member)
                ? (is_replaced && silent_period >= config::peer_timeout) ||
                      (has_replacement &&
                       silent_period >= config::voter_removal_delay)
                : silent_period >= config::learner_removal_delay ||
                      (is_replaced && silent_period >= config::peer_timeout);
        if (is_dead &&
            (!is_voter(member) || (has_remaining_majority && voters > 1)))
        {
            return member_change{
                member_change_kind::remove, member.member.id, {}};
        }
    }
    return std::nullopt;
}

} // namespace apricotlb
