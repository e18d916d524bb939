/// Decides which announcements of workers are acknowledged at once and what the
/// leader is told about them.
#ifndef APRICOTLB_CORE_FLEET_ANNOUNCEMENT_INTAKE_HPP
#define APRICOTLB_CORE_FLEET_ANNOUNCEMENT_INTAKE_HPP

#include "core/fleet/contact_messages.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace apricotlb
{

/// Why an announcement was acknowledged at once or has to wait for the leader.
enum class intake_reason : std::uint8_t
{
    renewed,   ///< nothing new, the leader is in contact: acknowledged at once
    late,      ///< sent before one that has been taken
    waiting,   ///< nothing new, but the leader is not in contact
    forwarded, ///< new, changed, draining or leaving
};

[[nodiscard]] auto name_of(intake_reason it) -> std::string_view;

/// Whose acknowledgement waits. A departure is acknowledged apart from the
/// announcements of the same worker.
struct intake_subject
{
    worker_id worker;
    bool leaves{false};

    auto operator<=>(intake_subject const&) const = default;
};

/// An acknowledgement that waits for the leader.
struct intake_ticket
{
    intake_subject subject;
    sequence number;

    auto operator<=>(intake_ticket const&) const = default;
};

struct intake_decision
{
    intake_reason reason{intake_reason::forwarded};
    std::optional<intake_ticket> ticket; ///< none: acknowledged at once
};

/// A call to the leader, with what its answer means for which worker.
struct intake_call
{
    /// One entry of the batch.
    struct entry
    {
        intake_ticket up_to;  ///< newest ticket that the answer covers
        sequence number;      ///< of the announcement
        std::uint64_t change; ///< see announcement_intake::kept_worker
        bool is_full{false};
        worker_incarnation life;
    };

    contact_batch batch;
    std::vector<entry> entries;
    time_point sent_at{};
};

/// Keeps the newest announcement of each worker that announces itself to this
/// process. Leaders are told apart by their terms; they hold none of it at
/// first.
class announcement_intake
{
public:
    /// An acknowledgement that waits longer is given up; workers call another
    /// process after 1 s.
    static constexpr duration acknowledgement_timeout = milliseconds{800};
    /// Limits the size of a message to a new leader, and the number of
    /// messages that it receives at once.
    static constexpr std::size_t max_announcements_per_call = 64;
    static constexpr std::size_t max_contacts_per_call = 1024;
    static constexpr std::size_t max_calls_per_round = 4;
    /// How long a departure that no leader has taken is kept, if it names the
    /// life that it ends.
    static constexpr duration departure_retention =
        config::worker_removal_delay;
    /// How long one that a leader has taken is kept for its successors. The
    /// leader may die before it has recorded the ends of the runs, which it
    /// does after config::max_order_age.
    static constexpr duration taken_departure_retention = seconds{10};
    /// Departures beyond their timeout. They fill one call to a new leader and
    /// leave the others of the round to the workers that are up.
    static constexpr std::size_t max_kept_departures =
        max_announcements_per_call;

    auto take(worker_announcement it, time_point now) -> intake_decision;

    /// Returns the calls that tell the leader what is new. There is one, if
    /// need be empty, while workers are kept, since its answer shows that the
    /// leader is in contact.
    [[nodiscard]] auto next_calls(time_point now) -> std::vector<intake_call>;

    /// Returns the newest ticket of each subject that the answer acknowledges.
    [[nodiscard]] auto on_answer(intake_call const& to,
                                 contact_answer const& answer)
        -> std::vector<intake_ticket>;
    auto on_no_answer(intake_call const& to) -> void;

    /// Where a worker should announce itself from now on; none if it may stay.
    /// The worker is forgotten then: a new leader hears of it from there.
    [[nodiscard]] auto release_moved(worker_id const& worker)
        -> std::optional<intake_address>;

    /// Called with the term of each leader that makes itself known.
    auto on_leader(term in_term) -> void;
    [[nodiscard]] auto leader_term() const -> term { return leader_term_; }
    /// True if the leader has answered a call sent within
    /// config::leader_timeout.
    [[nodiscard]] auto is_in_contact(time_point now) const -> bool;

    [[nodiscard]] auto size() const -> std::size_t { return kept_.size(); }

private:
    /// A life whose announcements another one followed.
    struct followed_life
    {
        worker_incarnation life;
        sequence number;            ///< of its newest announcement
        bool is_heard_since{false}; ///< since the last one of the kept life
    };
    /// Lives that are remembered of a worker, so that their late announcements
    /// are told from those of a life that has not been met.
    static constexpr std::size_t max_followed_lives = 4;

    struct kept_worker
    {
        worker_announcement value;           ///< newest
        std::vector<followed_life> followed; ///< the last one last
        time_point received{};
        /// Number of the announcement that the leader has taken in full.
        sequence described;
        term accepted_in; ///< term of the leader that holds it; 0: none
        /// Counts the announcements with something new, so that the answer to
        /// an earlier one does not count for a later one.
        std::uint64_t change{0};
        bool contact_due{false};
        sequence last_ticket;
        std::optional<intake_address> moves_to;
    };
    struct departure
    {
        time_point since{};
        sequence last_ticket;
        term taken_in; ///< term of the leader that has taken it; 0: none
        time_point taken_at{};
    };

    auto take_departure(worker_id const& worker, time_point now)
        -> intake_decision;
    auto wait(kept_worker& kept, intake_reason reason) -> intake_decision;
    /// True if `it` was sent before the newest announcement of its life, or may
    /// be a late one of a life that another one has followed.
    [[nodiscard]] static auto is_late(worker_announcement const& it,
                                      kept_worker& kept) -> bool;
    /// Records that this life is heard, and remembers the kept one if it is
    /// another.
    static auto follow(kept_worker& kept, worker_incarnation life) -> void;
    static auto remember(kept_worker& kept, followed_life it) -> void;
    /// The life that a departure received now ends: the one that has drained,
    /// as far as this process knows it, or otherwise incarnation 0.
    [[nodiscard]] auto leaving_life(worker_id const& worker,
                                    time_point now) const -> worker_instance;
    auto drop_old(time_point now) -> void;
    auto drop_old_departures(time_point now) -> void;
    [[nodiscard]] auto is_accepted(kept_worker const& it) const -> bool
    {
        return it.accepted_in != term{} && it.accepted_in == leader_term_;
    }

    std::map<worker_id, kept_worker> kept_;
    /// The first worker that the last round left out; the next one begins
    /// there.
    worker_id resume_at_;
    std::map<worker_instance, departure> leaving_;
    sequence last_ticket_;
    term leader_term_;                        ///< highest seen
    std::optional<time_point> last_answered_; ///< when that call was sent
};

} // namespace apricotlb

#endif
