/// Decides which life of a peer is heard, by which one answers now.
#ifndef APRICOTLB_CORE_GROUP_PEER_LIVES_HPP
#define APRICOTLB_CORE_GROUP_PEER_LIVES_HPP

#include "core/entry/sequence_window.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/strong.hpp>
#include <apricotlb/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// Number that a challenge carries and its answer repeats.
using challenge_nonce = strong<struct challenge_nonce_tag, std::uint64_t>;

/// What a message shows of the life that sent it.
struct life_sign
{
    incarnation life;
    sequence number;
    std::size_t bytes{0};           ///< of the message, in case it is held
    bool answers_challenges{false}; ///< whether the sender's program does
};

enum class life_verdict
{
    taken,     ///< of the living life and new
    duplicate, ///< of the living life, and has been taken before
    held,      ///< of another life, until an answer or expiry decides
    refused,   ///< of a life that has been replaced or refused
    hold_full  ///< of another life, beyond the bound of what is held
};

/// A decision between lives.
enum class life_event
{
    none,
    confirmed, ///< a life has answered and replaces the known one
    refused,   ///< the known life has answered: the other one is a former life
    higher,    ///< a life whose program answers no challenge has replaced a
               ///< lower one
    unconfirmed, ///< a life was taken without an answer, since the known one
                 ///< is silent
    unanswered ///< another life goes on beside the known one, and none answers
};

[[nodiscard]] constexpr auto name_of(life_event it) -> std::string_view
{
    constexpr std::array<std::string_view, 6> names{
        "none", "confirmed", "refused", "higher", "unconfirmed", "unanswered"};
    return names[static_cast<std::size_t>(it)];
}

/// Why messages of a life are dropped.
enum class refusal_cause
{
    former,    ///< another life has answered or replaced it
    silent,    ///< it was silent, and another life was taken without an answer
    unanswered ///< it goes on beside the known one, and no life answers
};

[[nodiscard]] constexpr auto name_of(refusal_cause it) -> std::string_view
{
    constexpr std::array<std::string_view, 3> names{"former", "silent",
                                                    "unanswered"};
    return names[static_cast<std::size_t>(it)];
}

struct life_decision
{
    life_verdict verdict{life_verdict::taken};
    life_event event{life_event::none};
};

/// The lives of one peer. A life is identified by its number; the order of
/// numbers says nothing, since a clock that is set back makes later ones lower.
/// A message of another life than the known one begins a claim, which a
/// challenge settles: a late message of a former life cannot answer a fresh
/// nonce.
class peer_lives
{
public:
    /// Bounds of what is held for one peer. A claim is settled within a round
    /// trip; senders repeat what is dropped.
    static constexpr std::size_t max_held_messages = 256;
    static constexpr std::size_t max_held_bytes = config::mib;
    /// Least time between two challenges to one peer.
    static constexpr duration challenge_interval =
        config::keepalive_interval / 6;
    /// Former lives that are remembered, each with the numbers it has used.
    static constexpr std::size_t max_former_lives = 8;
    /// Silence of the known life after which the answer of a remembered one
    /// counts. A process that was suspended and replaced meanwhile answers too;
    /// the one that replaced it sends a keepalive before this has passed.
    static constexpr duration former_answer_delay =
        2 * config::keepalive_interval;
    /// Silence of the known life after which a remembered one that goes on
    /// without an answer is taken. No connection delivers for as long after its
    /// sender has ended.
    static constexpr duration former_life_delay = std::chrono::seconds{30};

    /// Decides about a message. The first life that is heard is the known one.
    auto hear(life_sign const& it, time_point now) -> life_decision;

    /// The nonce of a challenge that has to be sent now, if any; to be asked
    /// after each message and at least every challenge_interval.
    auto take_due_challenge(time_point now, std::uint64_t& random)
        -> std::optional<challenge_nonce>;

    /// Takes the answer of a life to a challenge. It ends the claim unless the
    /// nonce is of another claim, or a remembered life has answered while the
    /// known one is heard.
    auto take_answer(incarnation life, challenge_nonce nonce, time_point now)
        -> life_event;

    /// Ends a claim whose life is no longer heard. Returns whether it did.
    auto expire(time_point now) -> bool;

    /// The life that is heard, if any.
    [[nodiscard]] auto known() const -> std::optional<incarnation>;
    /// Highest number taken from the known life.
    [[nodiscard]] auto newest_number() const -> sequence;

    /// Records that a message of a former life was dropped. True for the first
    /// one of a remembered life.
    auto note_refusal(incarnation life) -> bool;

private:
    struct life_record
    {
        incarnation life;
        sequence_window numbers;
        bool is_reported{false}; ///< a refusal was noted
    };
    struct claim
    {
        incarnation life; ///< heard last, if possible one not remembered
        time_point since; ///< from which that life is heard
        time_point last_heard;
        std::optional<challenge_nonce> nonce; ///< none before the first one
        std::size_t held_messages{0};
        std::size_t held_bytes{0};
        bool is_challenged{false}; ///< whether its program answers
        bool is_reported{false};   ///< as unanswered
    };

    auto take(life_sign const& it, time_point now) -> life_verdict;
    auto continue_claim(life_sign const& it, time_point now) -> void;
    /// Whether a life that does not or cannot answer replaces the known one.
    [[nodiscard]] auto replacement_without_answer(life_sign const& it,
                                                  time_point now) const
        -> life_event;
    auto refuse_or_hold(life_sign const& it, time_point now) -> life_decision;
    auto replace_known(incarnation by, time_point now) -> void;
    auto remember(life_record const& it) -> void;
    [[nodiscard]] auto is_former(incarnation life) const -> bool;

    std::optional<life_record> known_;
    time_point known_heard_{};
    std::vector<life_record> former_; ///< the latest at the end
    std::optional<claim> claim_;
    std::optional<time_point> last_challenge_;
};

} // namespace apricotlb

#endif
