/// Contracts, from which all limits of a customer follow.
#ifndef APRICOTLB_CONTRACT_HPP
#define APRICOTLB_CONTRACT_HPP

#include <apricotlb/fields.hpp>
#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>
#include <apricotlb/units.hpp>

#include <cstdint>
#include <vector>

namespace apricotlb
{

/// Behaviour of a region towards a customer while the customer's home region
/// cannot be reached.
enum class region_loss_policy : std::uint8_t
{
    hold, ///< keeps serving; changes of the contract are refused until then
    stop, ///< admits no requests; changes of the contract are accepted
};

template <>
inline constexpr auto last_enumerator<region_loss_policy> =
    region_loss_policy::stop;

/// Largest amount of batch work of a customer that may run at a time, over all
/// VMs.
struct batch_allowance
{
    resources total{};
    task_count tasks{};

    auto operator==(batch_allowance const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("total", &batch_allowance::total),
                          field("tasks", &batch_allowance::tasks));
    }
};

/// The contract of one customer.
struct contract
{
    customer_id customer;
    contract_version version;
    permille vm_share;             ///< share of each VM's resources and slots
    milliseconds urgent_latency{}; ///< target for the 99th percentile
    batch_allowance batch;
    std::vector<token_hash> tokens; ///< SHA-256 of callers' tokens, in hex
    seconds key_retention{};        ///< how long idempotency keys are kept
    region_id home_region;
    region_loss_policy on_region_loss{};

    auto operator==(contract const&) const -> bool = default;

    static constexpr auto fields()
    {
        return field_list(field("customer", &contract::customer),
                          field("version", &contract::version),
                          field("vm_share", &contract::vm_share),
                          field("urgent_latency", &contract::urgent_latency),
                          field("batch", &contract::batch),
                          field("tokens", &contract::tokens),
                          field("key_retention", &contract::key_retention),
                          field("home_region", &contract::home_region),
                          field("on_region_loss", &contract::on_region_loss));
    }

    class builder;
};

/// Builds a contract and checks its limits.
class contract::builder
{
public:
    auto customer(customer_id it) -> builder&;
    auto version(contract_version it) -> builder&;
    auto vm_share(permille it) -> builder&;
    auto urgent_latency(milliseconds it) -> builder&;
    auto batch(batch_allowance it) -> builder&;
    auto token(token_hash it) -> builder&;
    auto key_retention(seconds it) -> builder&;
    auto home_region(region_id it) -> builder&;
    auto on_region_loss(region_loss_policy it) -> builder&;

    /// The contract, or bad_contract with the field and its allowed values.
    [[nodiscard]] auto build() const -> result<contract>;

private:
    contract built_;
};

/// Checks a decoded contract by the builder's rules.
[[nodiscard]] auto check(contract const& it) -> result<void>;

} // namespace apricotlb

#endif
