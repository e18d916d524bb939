/// Messages from the processes that take the announcements of workers to the
/// leader.
#ifndef APRICOTLB_CORE_FLEET_CONTACT_MESSAGES_HPP
#define APRICOTLB_CORE_FLEET_CONTACT_MESSAGES_HPP

#include "core/fleet/worker_messages.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

#include <cstddef>
#include <vector>

namespace apricotlb
{

/// A ready worker has announced itself again with nothing new but its clock and
/// its number.
struct worker_contact
{
    worker_instance instance;
    sequence number;
    /// Number of the full announcement with which the sender compared this one.
    sequence described;
    worker_clock clock;
    milliseconds age{}; ///< time since the announcement was received

    static constexpr auto fields()
    {
        return field_list(field("life", &worker_contact::instance),
                          field("number", &worker_contact::number),
                          field("described", &worker_contact::described),
                          field("clock", &worker_contact::clock),
                          field("age", &worker_contact::age));
    }
};

struct received_announcement
{
    worker_announcement value;
    milliseconds age{}; ///< time since it was received

    static constexpr auto fields()
    {
        return field_list(field("value", &received_announcement::value),
                          field("age", &received_announcement::age));
    }
};

/// What one process has received from workers. Announcements come first.
struct contact_batch
{
    std::vector<received_announcement> announcements;
    std::vector<worker_contact> contacts;

    static constexpr auto fields()
    {
        return field_list(field("announcements", &contact_batch::announcements),
                          field("contacts", &contact_batch::contacts));
    }
};

/// A worker of the batch that should announce itself to another process.
struct worker_move
{
    worker_id worker;
    intake_address to;

    static constexpr auto fields()
    {
        return field_list(field("worker", &worker_move::worker),
                          field("to", &worker_move::to));
    }
};

/// The answer to a contact_batch.
struct contact_answer
{
    term leader_term;
    /// Workers of `contacts` whose full announcements the leader needs.
    std::vector<worker_id> unknown;
    std::vector<worker_move> moves;

    static constexpr auto fields()
    {
        return field_list(field("leader_term", &contact_answer::leader_term),
                          field("unknown", &contact_answer::unknown),
                          field("moves", &contact_answer::moves));
    }
};

/// Leaders of earlier versions move no workers.
template <>
inline constexpr std::size_t optional_fields<contact_answer> = 1;

} // namespace apricotlb

#endif
