/// Messages between the leader and the entry processes that pass its orders on
/// to workers.
#ifndef APRICOTLB_CORE_FLEET_RELAY_MESSAGES_HPP
#define APRICOTLB_CORE_FLEET_RELAY_MESSAGES_HPP

#include "core/fleet/relay_clock.hpp"
#include "core/fleet/worker_messages.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>

#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace apricotlb
{

/// An order with the number under which its answer is returned. Numbers are
/// unique within one leadership.
struct relayed_order
{
    sequence number;
    std::variant<start_order, stop_order, pace_order, poll_order> value;
    /// On the relay's clock; none if the leader has no reading of it.
    std::optional<process_clock> valid_until{std::nullopt};

    static constexpr auto fields()
    {
        return field_list(field("number", &relayed_order::number),
                          field("value", &relayed_order::value),
                          field("valid_until", &relayed_order::valid_until));
    }
};

/// Relays of earlier versions tell no clock.
template <>
inline constexpr std::size_t optional_fields<relayed_order> = 1;

/// Orders of one leader to workers of one relay.
struct order_batch
{
    term leader_term;
    std::vector<relayed_order> orders;
    /// Life of the relay whose clock the orders refer to.
    std::optional<incarnation> life{std::nullopt};

    static constexpr auto fields()
    {
        return field_list(field("leader_term", &order_batch::leader_term),
                          field("orders", &order_batch::orders),
                          field("life", &order_batch::life));
    }
};

template <>
inline constexpr std::size_t optional_fields<order_batch> = 1;

struct relayed_answer
{
    sequence number;
    std::variant<order_answer, poll_answer> value;

    static constexpr auto fields()
    {
        return field_list(field("number", &relayed_answer::number),
                          field("value", &relayed_answer::value));
    }
};

/// Size of an answer in bytes, as far as it depends on lists and texts.
[[nodiscard]] inline auto approximate_size(relayed_answer const& it)
    -> std::size_t
{
    constexpr std::size_t row_bytes = 64;
    auto bytes = row_bytes;
    if (auto const* const poll = std::get_if<poll_answer>(&it.value))
    {
        auto const add =
            [&bytes](task_run const& run, checkpoint_id const& checkpoint)
        {
            bytes += row_bytes + run.task.workflow.value().size() +
                     checkpoint.value().size();
        };
        for (auto const& row : poll->lists.running)
        {
            add(row.run, row.checkpoint);
        }
        for (auto const& row : poll->lists.ended)
        {
            add(row.run.run, row.run.checkpoint);
        }
    }
    return bytes;
}

/// Answers of workers to orders of the leader of `leader_term`.
struct answer_batch
{
    term leader_term;
    std::vector<relayed_answer> answers;

    static constexpr auto fields()
    {
        return field_list(field("leader_term", &answer_batch::leader_term),
                          field("answers", &answer_batch::answers));
    }
};

/// Sent by a new leader to the processes that it knows, so that they need not
/// search for it.
struct leader_notice
{
    term in_term;

    static constexpr auto fields()
    {
        return field_list(field("term", &leader_notice::in_term));
    }
};

} // namespace apricotlb

#endif
