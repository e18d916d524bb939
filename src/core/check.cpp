#include <apricotlb/config.hpp>
#include <apricotlb/contract.hpp>
#include <apricotlb/job.hpp>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{

namespace
{

constexpr std::size_t sha256_hex_length = 64;

/// Names become part of paths and log lines, so only these characters are
/// allowed.
auto is_plain_name(std::string_view name) -> bool
{
    auto const is_plain = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= config::max_name_length &&
           std::ranges::all_of(name, is_plain);
}

template <class Id>
auto check_name(error_kind kind, std::string_view field, Id const& id)
    -> result<void>
{
    if (!is_plain_name(id.value()))
    {
        return fail(kind, std::string{field} +
                              ": must be 1 to 128 letters, digits, '-', '_' "
                              "or '.', got \"" +
                              id.value().substr(0, 40) + "\"");
    }
    return outcome::success();
}

template <class Quantity>
auto check_range(error_kind kind, std::string_view field, Quantity value,
                 Quantity low, Quantity high) -> result<void>
{
    if (value < low || value > high)
    {
        auto const number_text = [](Quantity quantity)
        {
            if constexpr (requires { quantity.value(); })
            {
                return std::to_string(quantity.value());
            }
            else
            {
                return std::to_string(quantity.count());
            }
        };
        return fail(kind, std::string{field} + ": must be " + number_text(low) +
                              " to " + number_text(high) + ", got " +
                              number_text(value));
    }
    return outcome::success();
}

constexpr millicores max_cores{1'000'000'000};
constexpr byte_count max_memory{std::int64_t{1} << 56};
constexpr accelerators max_accelerators{1'000'000};

auto check_resources(error_kind kind, std::string const& field,
                     resources const& it) -> result<void>
{
    BOOST_OUTCOME_TRYV(check_range(kind, field + ".cores (millicores)",
                                   it.cores, millicores{0}, max_cores));
    BOOST_OUTCOME_TRYV(check_range(kind, field + ".memory (bytes)", it.memory,
                                   byte_count{0}, max_memory));
    return check_range(kind, field + ".accelerators", it.accels,
                       accelerators{0}, max_accelerators);
}

auto check_address(url const& it) -> result<void>
{
    auto const& text = it.value();
    if (!text.starts_with("http://") || text.size() > 256)
    {
        return fail(error_kind::bad_request,
                    "address: must be http://<ip>:<port>, at most 256 "
                    "characters, got \"" +
                        text.substr(0, 40) + "\"");
    }
    return outcome::success();
}

auto check_service_limits(slot_count slots, connection_count connections)
    -> result<void>
{
    BOOST_OUTCOME_TRYV(check_range(error_kind::bad_request, "slots", slots,
                                   slot_count{0}, slot_count{10'000}));
    return check_range(error_kind::bad_request, "connections", connections,
                       connection_count{0}, connection_count{100'000});
}

} // namespace

auto check(contract const& it) -> result<void>
{
    constexpr auto kind = error_kind::bad_contract;
    BOOST_OUTCOME_TRYV(check_name(kind, "customer", it.customer));
    BOOST_OUTCOME_TRYV(check_range(kind, "version", it.version,
                                   contract_version{1},
                                   contract_version{UINT64_MAX}));
    BOOST_OUTCOME_TRYV(check_range(kind, "vm_share (permille)", it.vm_share,
                                   permille{1}, permille{1000}));
    BOOST_OUTCOME_TRYV(check_range(kind, "urgent_latency (ms)",
                                   it.urgent_latency, milliseconds{1},
                                   milliseconds{600'000}));
    BOOST_OUTCOME_TRYV(check_resources(kind, "batch", it.batch.total));
    BOOST_OUTCOME_TRYV(check_range(kind, "batch.tasks", it.batch.tasks,
                                   task_count{0}, task_count{1'000'000}));
    BOOST_OUTCOME_TRYV(check_range(kind, "key_retention (s)", it.key_retention,
                                   seconds{60}, config::max_key_retention));
    if (it.tokens.empty() || it.tokens.size() > config::max_tokens)
    {
        return fail(kind, "tokens: must list 1 to 16 SHA-256 hashes, got " +
                              std::to_string(it.tokens.size()));
    }
    auto const is_hash = [](token_hash const& hash)
    {
        return hash.value().size() == sha256_hex_length &&
               std::ranges::all_of(hash.value(),
                                   [](char c) {
                                       return (c >= '0' && c <= '9') ||
                                              (c >= 'a' && c <= 'f');
                                   });
    };
    if (!std::ranges::all_of(it.tokens, is_hash))
    {
        return fail(kind, "tokens: each must be a SHA-256 hash in 64 "
                          "lower-case hexadecimal digits");
    }
    return outcome::success();
}

auto contract::builder::customer(customer_id it) -> builder&
{
    built_.customer = std::move(it);
    return *this;
}

auto contract::builder::version(contract_version it) -> builder&
{
    built_.version = it;
    return *this;
}

auto contract::builder::vm_share(permille it) -> builder&
{
    built_.vm_share = it;
    return *this;
}

auto contract::builder::urgent_latency(milliseconds it) -> builder&
{
    built_.urgent_latency = it;
    return *this;
}

auto contract::builder::batch(batch_allowance it) -> builder&
{
    built_.batch = it;
    return *this;
}

auto contract::builder::token(token_hash it) -> builder&
{
    built_.tokens.push_back(std::move(it));
    return *this;
}

auto contract::builder::key_retention(seconds it) -> builder&
{
    built_.key_retention = it;
    return *this;
}

auto contract::builder::home_region(region_id it) -> builder&
{
    built_.home_region = std::move(it);
    return *this;
}

auto contract::builder::on_region_loss(region_loss_policy it) -> builder&
{
    built_.on_region_loss = it;
    return *this;
}

auto contract::builder::build() const -> result<contract>
{
    auto it = built_;
    if (it.key_retention == seconds{0})
    {
        it.key_retention = config::default_key_retention;
    }
    BOOST_OUTCOME_TRYV(check(it));
    return it;
}

auto check(job_spec const& it) -> result<void>
{
    constexpr auto kind = error_kind::bad_request;
    BOOST_OUTCOME_TRYV(check_name(kind, "id", it.id));
    BOOST_OUTCOME_TRYV(check_name(kind, "customer", it.customer));
    BOOST_OUTCOME_TRYV(check_name(kind, "work", it.work));
    BOOST_OUTCOME_TRYV(check_range(kind, "tasks", it.tasks, task_count{1},
                                   config::max_tasks_per_job));
    BOOST_OUTCOME_TRYV(check_resources(kind, "each", it.each));
    if (it.each.cores <= millicores{0} || it.each.memory <= byte_count{0})
    {
        return fail(kind, "each: cores and memory must be above 0");
    }
    BOOST_OUTCOME_TRYV(check_range(kind, "declared_run_time (s)",
                                   it.declared_run_time, seconds{0},
                                   seconds{366 * 86'400}));
    if (it.payload.size() > config::max_payload_bytes)
    {
        return fail(kind, "payload: must be at most 16384 bytes, got " +
                              std::to_string(it.payload.size()));
    }
    return outcome::success();
}

auto job_spec::builder::id(job_id it) -> builder&
{
    built_.id = std::move(it);
    return *this;
}

auto job_spec::builder::customer(customer_id it) -> builder&
{
    built_.customer = std::move(it);
    return *this;
}

auto job_spec::builder::kind(job_class it) -> builder&
{
    built_.kind = it;
    return *this;
}

auto job_spec::builder::work(work_kind it) -> builder&
{
    built_.work = std::move(it);
    return *this;
}

auto job_spec::builder::tasks(task_count it) -> builder&
{
    built_.tasks = it;
    return *this;
}

auto job_spec::builder::each(resources const& it) -> builder&
{
    built_.each = it;
    return *this;
}

auto job_spec::builder::declared_run_time(seconds it) -> builder&
{
    built_.declared_run_time = it;
    return *this;
}

auto job_spec::builder::payload(std::string it) -> builder&
{
    built_.payload = std::move(it);
    return *this;
}

auto job_spec::builder::build() const -> result<job_spec>
{
    BOOST_OUTCOME_TRYV(check(built_));
    return built_;
}

auto check(worker_info const& it) -> result<void>
{
    constexpr auto kind = error_kind::bad_request;
    BOOST_OUTCOME_TRYV(check_name(kind, "id", it.id));
    BOOST_OUTCOME_TRYV(check_address(it.address));
    BOOST_OUTCOME_TRYV(check_name(kind, "zone", it.zone));
    BOOST_OUTCOME_TRYV(check_name(kind, "rack", it.rack));
    BOOST_OUTCOME_TRYV(check_resources(kind, "capacity", it.capacity));
    return check_service_limits(it.slots, it.connections);
}

auto check(backend_info const& it) -> result<void>
{
    constexpr auto kind = error_kind::bad_request;
    BOOST_OUTCOME_TRYV(check_name(kind, "id", it.id));
    BOOST_OUTCOME_TRYV(check_name(kind, "customer", it.customer));
    BOOST_OUTCOME_TRYV(check_name(kind, "service", it.service));
    BOOST_OUTCOME_TRYV(check_address(it.address));
    BOOST_OUTCOME_TRYV(check_name(kind, "zone", it.zone));
    if (it.worker)
    {
        BOOST_OUTCOME_TRYV(check_name(kind, "worker", *it.worker));
    }
    return check_service_limits(it.slots, it.connections);
}

} // namespace apricotlb
