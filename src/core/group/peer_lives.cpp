#include "core/group/peer_lives.hpp"

#include "core/random.hpp"

#include <algorithm>
#include <utility>

namespace apricotlb
{

auto peer_lives::hear(life_sign const& it, time_point now) -> life_decision
{
    if (!known_)
    {
        known_ = life_record{it.life, {}, false};
    }
    if (it.life == known_->life)
    {
        return {take(it, now), life_event::none};
    }
    continue_claim(it, now);
    auto const event = replacement_without_answer(it, now);
    if (event == life_event::none)
    {
        return refuse_or_hold(it, now);
    }
    claim_.reset();
    replace_known(it.life, now);
    return {take(it, now), event};
}

auto peer_lives::take(life_sign const& it, time_point now) -> life_verdict
{
    if (!known_->numbers.accept(it.number))
    {
        return life_verdict::duplicate;
    }
    known_heard_ = now;
    return life_verdict::taken;
}

auto peer_lives::continue_claim(life_sign const& it, time_point now) -> void
{
    if (!claim_)
    {
        claim_ = claim{.life = it.life,
                       .since = now,
                       .last_heard = now,
                       .nonce = std::nullopt};
    }
    else if (claim_->life != it.life &&
             (is_former(claim_->life) || !is_former(it.life)))
    {
        // A late message of a remembered life does not interrupt the claim of
        // one that is new.
        claim_->life = it.life;
        claim_->since = now;
    }
    claim_->last_heard = now;
    claim_->is_challenged |= it.answers_challenges;
}

auto peer_lives::replacement_without_answer(life_sign const& it,
                                            time_point now) const -> life_event
{
    auto const silence = now - known_heard_;
    auto const is_lasting =
        claim_->life == it.life && now - claim_->since > config::peer_timeout;
    auto const is_remembered = is_former(it.life);
    if (!it.answers_challenges && !is_remembered)
    {
        if (it.life > known_->life)
        {
            return life_event::higher;
        }
        return silence > config::peer_timeout ? life_event::unconfirmed
                                              : life_event::none;
    }
    auto const needed_silence = it.answers_challenges && is_remembered
                                    ? former_life_delay
                                    : config::peer_timeout;
    return is_lasting && silence > needed_silence ? life_event::unconfirmed
                                                  : life_event::none;
}

auto peer_lives::refuse_or_hold(life_sign const& it, time_point now)
    -> life_decision
{
    auto const is_unanswered = claim_->life == it.life &&
                               !claim_->is_reported &&
                               now - claim_->since > config::peer_timeout;
    claim_->is_reported |= is_unanswered;
    auto const event =
        is_unanswered ? life_event::unanswered : life_event::none;
    if (is_former(it.life) || !it.answers_challenges)
    {
        return {life_verdict::refused, event};
    }
    if (claim_->held_messages >= max_held_messages ||
        claim_->held_bytes + it.bytes > max_held_bytes)
    {
        return {life_verdict::hold_full, event};
    }
    ++claim_->held_messages;
    claim_->held_bytes += it.bytes;
    return {life_verdict::held, event};
}

auto peer_lives::take_due_challenge(time_point now, std::uint64_t& random)
    -> std::optional<challenge_nonce>
{
    if (!claim_ || !claim_->is_challenged ||
        (last_challenge_ && now - *last_challenge_ < challenge_interval))
    {
        return std::nullopt;
    }
    if (!claim_->nonce)
    {
        claim_->nonce = challenge_nonce{next_random(random)};
    }
    last_challenge_ = now;
    return claim_->nonce;
}

auto peer_lives::take_answer(incarnation life, challenge_nonce nonce,
                             time_point now) -> life_event
{
    if (!claim_ || claim_->nonce != nonce ||
        (is_former(life) && now - known_heard_ <= former_answer_delay))
    {
        return life_event::none;
    }
    auto const claimed = claim_->life;
    claim_.reset();
    if (claimed != life && !is_former(claimed))
    {
        remember({claimed, {}, false});
    }
    if (life == known_->life)
    {
        known_heard_ = now;
        return life_event::refused;
    }
    replace_known(life, now);
    return life_event::confirmed;
}

auto peer_lives::expire(time_point now) -> bool
{
    if (!claim_ || now - claim_->last_heard <= config::peer_timeout)
    {
        return false;
    }
    claim_.reset();
    return true;
}

auto peer_lives::known() const -> std::optional<incarnation>
{
    return known_ ? std::optional{known_->life} : std::nullopt;
}

auto peer_lives::newest_number() const -> sequence
{
    return known_ ? known_->numbers.newest() : sequence{};
}

auto peer_lives::note_refusal(incarnation life) -> bool
{
    auto const it =
        std::find_if(former_.begin(), former_.end(),
                     [life](life_record const& f) { return f.life == life; });
    return it != former_.end() && !std::exchange(it->is_reported, true);
}

auto peer_lives::replace_known(incarnation by, time_point now) -> void
{
    // A life that comes back keeps its numbers, so that nothing of it is taken
    // twice.
    life_record next{by, {}, false};
    auto const it =
        std::find_if(former_.begin(), former_.end(),
                     [by](life_record const& f) { return f.life == by; });
    if (it != former_.end())
    {
        next.numbers = it->numbers;
        former_.erase(it);
    }
    auto former = std::exchange(*known_, next);
    former.is_reported = false;
    remember(former);
    known_heard_ = now;
}

auto peer_lives::remember(life_record const& it) -> void
{
    if (former_.size() >= max_former_lives)
    {
        former_.erase(former_.begin());
    }
    former_.push_back(it);
}

auto peer_lives::is_former(incarnation life) const -> bool
{
    return std::any_of(former_.begin(), former_.end(),
                       [life](life_record const& it)
                       { return it.life == life; });
}

} // namespace apricotlb
