/// The reads that a leader has answered.
#ifndef APRICOTLB_CORE_LEADER_READ_REPORT_HPP
#define APRICOTLB_CORE_LEADER_READ_REPORT_HPP

#include <apricotlb/ids.hpp>
#include <apricotlb/workflow.hpp>

#include <cstdint>

namespace apricotlb
{

/// Reads in one term that a leader has answered since its last report.
struct read_report
{
    term in_term;
    std::int64_t reads{0};
    contract_set_version first; ///< in force for the first of them
    contract_set_version last;
};

} // namespace apricotlb

#endif
