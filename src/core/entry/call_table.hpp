/// Pending calls to the control leader: where each is sent, when it is sent
/// again and when it is given up.
#ifndef APRICOTLB_CORE_ENTRY_CALL_TABLE_HPP
#define APRICOTLB_CORE_ENTRY_CALL_TABLE_HPP

#include "core/entry/leader_watch.hpp"
#include "core/messages.hpp"
#include "core/random.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricotlb
{

namespace metric
{
/// Calls that were sent again, by what is known of them.
inline constexpr std::string_view unanswered_calls =
    "apricotlb_unanswered_calls_total";
/// Copies of calls that are open at the leader.
inline constexpr std::string_view call_copies = "apricotlb_call_copies_total";
/// Cancels of workflows at the leader.
inline constexpr std::string_view cancels = "apricotlb_cancels_total";
} // namespace metric

/// A cancel that has waited for this long is logged.
inline constexpr duration late_cancel_time = seconds{1};

/// Time without a message of a leader from which a call turns to another
/// process: the leader answers a ping in each 400 ms.
inline constexpr duration leader_quiet_time =
    config::leader_ping_interval + milliseconds{200};
/// A call that the leader has confirmed is repeated for a lost answer only.
inline constexpr duration proposed_call_interval =
    2 * config::call_retry_interval;

/// A call to send to a control process.
struct call_to_send
{
    node_id to;
    call message;
};

/// How a call is treated while no leader answers.
enum class call_kind : std::uint8_t
{
    change, ///< repeated until its timeout
    read,   ///< never answered by a leader that is elected later
    /// Refused once no leader answers, as far as it has certainly not run.
    submission,
};

[[nodiscard]] auto kind_of(decltype(call::body) const& body) -> call_kind;
[[nodiscard]] auto name_of(call_kind it) -> std::string_view;

/// Why a call was refused without an answer of a leader. It has not run.
enum class call_refusal : std::uint8_t
{
    leader_silent,   ///< a submission that was not sent
    not_accepted,    ///< a submission that all processes asked have refused
    read_unanswered, ///< no leader has answered the read in time
    leader_changed,  ///< the read was sent to a process that does not lead
};

[[nodiscard]] auto name_of(call_refusal it) -> std::string_view;

/// What is known of a call that has no answer.
enum class call_standing : std::uint8_t
{
    silent,  ///< the process asked has answered nothing since
    waiting, ///< it has answered other calls since
    /// Refused by a process that does not lead.
    not_leader,
    /// Refused by the leader of the group, which may not serve calls now.
    leader_without_lease,
    /// The leader has it, and its answer waits for a commit.
    proposed,
    /// A leader has taken it, and cannot tell whether it will take effect.
    outcome_unknown,
};

[[nodiscard]] auto name_of(call_standing it) -> std::string_view;

/// A cancel that has waited for late_cancel_time, or one such that ends.
struct late_cancel
{
    enum class call_end : std::uint8_t
    {
        open,
        answered,
        expired,
    };

    call_id id;
    std::string path;
    node_id asked; ///< last
    call_standing standing{call_standing::silent};
    duration waited{};
    std::size_t sends{0};
    call_end end{call_end::open};
};

[[nodiscard]] auto name_of(late_cancel::call_end it) -> std::string_view;

/// Sends each call to the presumed leader until it is answered, and to another
/// control process if the leader is silent or another one leads. Calls are safe
/// to repeat, since the state machine recognises a repeated call by its id.
class call_table
{
public:
    /// Calls of two lives of a process do not share numbers, however close
    /// their incarnations are: a late answer to another life must not count for
    /// a call of this one, and a leader must not take a call for a copy of one
    /// that it has from another life.
    explicit call_table(std::vector<node_id> control, incarnation life = {})
        : control_(std::move(control)), last_id_{number_before_first(life)}
    {
    }

    /// The reason not to start a call, if there is one.
    [[nodiscard]] auto refusal_of(decltype(call::body) const& body,
                                  time_point now) const
        -> std::optional<call_refusal>;

    /// Adds a call and returns its first message.
    [[nodiscard]] auto start(decltype(call::body) body, time_point now,
                             duration timeout) -> call_to_send;

    /// Effect of an answer on its call.
    struct outcome_of_answer
    {
        std::optional<call_to_send> resend;
        /// The answer is final and the call was removed.
        bool done{false};
        /// The call was removed without an answer of a leader.
        std::optional<call_refusal> refused;
        /// The call is a late cancel that has ended.
        std::optional<late_cancel> late;
    };
    auto take(node_id const& from, call_answer const& it, time_point now)
        -> outcome_of_answer;

    struct refused_call
    {
        call_id id;
        call_refusal reason;
    };

    struct expired_call
    {
        call_id id;
        node_id asked; ///< last
        call_standing standing;
    };

    /// Calls to send again, and calls that were removed: refused, or with an
    /// unknown outcome at their deadline.
    struct due_calls
    {
        std::vector<call_to_send> resend;
        std::vector<refused_call> refused;
        std::vector<expired_call> expired;
        /// What is known of each call that is sent again.
        std::vector<call_standing> unanswered;
        std::vector<late_cancel> late;
    };
    [[nodiscard]] auto due(time_point now) -> due_calls;

    /// The control process that is presumed to be the leader.
    [[nodiscard]] auto leader() const -> node_id const&
    {
        return control_[presumed_leader_];
    }

    /// Replaces the control processes that may receive calls. An empty list is
    /// ignored.
    auto set_control(std::vector<node_id> control) -> void;
    /// False while the list of control processes is empty; no call may be
    /// started then.
    [[nodiscard]] auto is_connected() const -> bool
    {
        return !control_.empty();
    }

    /// Records the sender of a message that only the leader sends.
    auto set_leader(node_id const& id, time_point now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return calls_.size(); }

private:
    /// Spreads the lives over half of the 64 bits, so that 10^9 calls of one
    /// meet those of another with a probability of 2 to the power of -32.
    static auto number_before_first(incarnation life) -> call_id
    {
        auto state = life.value();
        return call_id{next_random(state) >> 1U};
    }

    struct pending_call
    {
        call message;
        call_kind kind{call_kind::change};
        node_id sent_to;
        time_point started;
        time_point sent_at; ///< the last time
        time_point deadline;
        std::size_t sends{0};
        std::size_t not_leader_answers{0};
        bool may_have_run{false}; ///< by an answer
        bool is_late{false};      ///< reported as a late cancel
        call_standing standing{call_standing::silent}; ///< by answers

        /// True if each copy that was sent is known not to have run.
        [[nodiscard]] auto is_refused_by_all() const -> bool
        {
            return !may_have_run && not_leader_answers == sends;
        }
    };

    [[nodiscard]] auto standing_of(pending_call const& it) const
        -> call_standing;
    [[nodiscard]] auto report(pending_call const& it, time_point now,
                              late_cancel::call_end end) const -> late_cancel;
    auto send_to(pending_call& pending, node_id const& to, time_point now) const
        -> call_to_send;
    /// Decides on an answer of a process that is not the leader.
    auto redirect(pending_call& pending, node_id const& from,
                  call_failure const& it, time_point now) -> outcome_of_answer;
    /// True if a change or submission is to be sent again.
    [[nodiscard]] auto is_repetition_due(pending_call const& it,
                                         time_point now) const -> bool;
    /// True if the process asked does not lead or is silent.
    [[nodiscard]] auto has_no_leader(pending_call const& it,
                                     time_point now) const -> bool;
    /// Where the repetition of a call goes.
    struct repetition_pass
    {
        bool has_turned{false};
    };
    auto next_process(pending_call const& it, time_point now,
                      repetition_pass& pass) -> node_id const&;
    /// The reason to give a sent call up now, if there is one.
    [[nodiscard]] auto refusal_of(pending_call const& it, time_point now) const
        -> std::optional<call_refusal>;
    [[nodiscard]] auto refusal_of_read(pending_call const& it,
                                       time_point now) const
        -> std::optional<call_refusal>;
    /// True if another process than the one asked has since shown to lead.
    [[nodiscard]] auto has_new_leader(pending_call const& it) const -> bool;
    [[nodiscard]] auto process_after(node_id const& id) const -> node_id const&;
    auto presume(node_id const& id) -> void;

    std::vector<node_id> control_;
    std::size_t presumed_leader_{0};
    leader_watch watch_;
    time_point last_search_{};
    node_id last_searched_;
    call_id last_id_{};
    std::map<call_id, pending_call> calls_;
};

} // namespace apricotlb

#endif
