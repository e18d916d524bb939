/// Messages from the processes that take the announcements of workers to the
/// leader.
#ifndef APRICOTLB_CORE_FLEET_CONTACT_MESSAGES_HPP
#define APRICOTLB_CORE_FLEET_CONTACT_MESSAGES_HPP

#include "core/fleet/worker_messages.hpp"

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/time.hpp>

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

/// The answer to a contact_batch.
struct contact_answer
{
    term leader_term;
    /// Workers of `contacts` whose full announcements the leader needs.
    std::vector<worker_id> unknown;

    static constexpr auto fields()
    {
        return field_list(field("leader_term", &contact_answer::leader_term),
                          field("unknown", &contact_answer::unknown));
    }
};

} // namespace apricotlb

#endif
