/// Request and response bodies that the API shares with the command line
/// client.
#ifndef APRICOTLB_APP_API_BODIES_HPP
#define APRICOTLB_APP_API_BODIES_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>

namespace apricotlb
{

/// Response to a change of a contract.
struct change_answer
{
    contract_version version;
    revision at; ///< of the log, at which the change was applied
    bool in_force{false};

    static constexpr auto fields()
    {
        return field_list(field("version", &change_answer::version),
                          field("revision", &change_answer::at),
                          field("in_force", &change_answer::in_force));
    }
};

/// Body of POST /v1/members: a member to add.
struct member_request
{
    node_id id;
    url address;

    static constexpr auto fields()
    {
        return field_list(field("id", &member_request::id),
                          field("address", &member_request::address));
    }
};

} // namespace apricotlb

#endif
