/// Ids of customers, machines, jobs, requests and log positions.
#ifndef APRICOTLB_IDS_HPP
#define APRICOTLB_IDS_HPP

#include <apricotlb/strong.hpp>

#include <cstdint>
#include <string>

namespace apricotlb
{

using customer_id = strong<struct customer_tag, std::string>;
using region_id = strong<struct region_tag, std::string>;
using zone_id = strong<struct zone_tag, std::string>;
using rack_id = strong<struct rack_tag, std::string>;
using worker_id = strong<struct worker_tag, std::string>;
using backend_id = strong<struct backend_tag, std::string>;
using service_name = strong<struct service_tag, std::string>;
using job_id = strong<struct job_tag, std::string>;
using checkpoint_id = strong<struct checkpoint_tag, std::string>;
using idempotency_key = strong<struct idempotency_key_tag, std::string>;
using token_hash = strong<struct token_hash_tag, std::string>;
using change_id = strong<struct change_tag, std::string>;
using operator_name = strong<struct operator_tag, std::string>;
using url = strong<struct url_tag, std::string>;

/// IP address and port at which a process takes the announcements of workers.
using intake_address = strong<struct intake_address_tag, std::string>;

/// Identifies a process: a voter, a learner or an entry.
using node_id = strong<struct node_tag, std::string>;

/// Distinguishes the starts of a process with the same node_id.
using incarnation = strong<struct incarnation_tag, std::uint64_t>;

/// Kind of work, by which interference is learned.
using work_kind = strong<struct work_kind_tag, std::string>;

using term = quantity<struct term_tag, std::uint64_t>;
using log_index = quantity<struct log_index_tag, std::uint64_t>;
using revision = quantity<struct revision_tag, std::uint64_t>;
using contract_version = quantity<struct contract_version_tag, std::uint64_t>;
using attempt_number = quantity<struct attempt_tag, std::uint32_t>;
using task_index = quantity<struct task_index_tag, std::uint32_t>;
using call_id = quantity<struct call_tag, std::uint64_t>;
using request_id = quantity<struct request_tag, std::uint64_t>;
using sequence = quantity<struct sequence_tag, std::uint64_t>;

/// Digest of the method, path, query and body length of a request with an
/// idempotency key.
using request_digest = strong<struct request_digest_tag, std::uint64_t>;

} // namespace apricotlb

#endif
