#include "core/group/membership.hpp"

#include <apricotlb/config.hpp>

#include <algorithm>

namespace apricotlb
{

namespace
{

constexpr char suffix_mark = '~';

auto is_voter(member_status const& it) -> bool
{
    return it.member.role == member_role::voter;
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
    auto const silence = [&](member_status const& it)
    { return it.member.id == self ? duration{0} : now - it.heard; };
    auto const is_alive = [&](member_status const& it)
    { return silence(it) < config::peer_timeout; };
    auto const voters = std::ranges::count_if(status.members, is_voter);
    auto const alive =
        std::ranges::count_if(status.members, [&](member_status const& it)
                              { return is_voter(it) && is_alive(it); });
    // Of the voters that would remain.
    auto const keeps_majority = alive >= (voters - 1) / 2 + 1;
    auto const has_heir = std::ranges::any_of(
        status.members,
        [&](member_status const& it)
        {
            return !is_voter(it) && is_alive(it) &&
                   it.lag <= log_index{config::max_promotion_lag};
        });
    for (auto const& it : status.members)
    {
        auto const is_replaced =
            std::ranges::any_of(status.members,
                                [&](member_status const& other)
                                {
                                    return other.member.id != it.member.id &&
                                           is_alive(other) &&
                                           served_address(other.member.id) ==
                                               served_address(it.member.id);
                                });
        auto const quiet = silence(it);
        auto const is_dead =
            is_voter(it)
                ? (is_replaced && quiet >= config::peer_timeout) ||
                      (has_heir && quiet >= config::voter_removal_delay)
                : quiet >= config::learner_removal_delay ||
                      (is_replaced && quiet >= config::peer_timeout);
        if (is_dead && (!is_voter(it) || (keeps_majority && voters > 1)))
        {
            return member_change{member_change_kind::remove, it.member.id, {}};
        }
    }
    return std::nullopt;
}

} // namespace apricotlb
