#include "core/state/contract_set_registry.hpp"

#include <algorithm>
#include <string>

namespace apricotlb
{

contract_set_registry::contract_set_registry(std::optional<contract_set> held)
    : held_(std::move(held))
{
    index();
}

auto contract_set_registry::index() -> void
{
    queues_.clear();
    places_.clear();
    for (std::size_t n = 0; held_ && n < held_->queues.size(); ++n)
    {
        auto const& it = held_->queues[n];
        queues_[it.name] = n;
        places_[{it.host, it.prefix}] = n;
    }
}

auto contract_set_registry::apply(apply_contract_set const& it, revision at)
    -> apply_result
{
    apply_result answer;
    answer.at = at;
    if (!held_ || it.value.version > held_->version)
    {
        held_ = it.value;
        index();
    }
    return answer;
}

auto contract_set_registry::queue(queue_name const& name) const
    -> queue_contract const*
{
    auto const it = queues_.find(name);
    return it == queues_.end() ? nullptr : &held_->queues[it->second];
}

auto contract_set_registry::pool(pool_name const& name) const
    -> pool_contract const*
{
    if (!held_)
    {
        return nullptr;
    }
    auto const it = std::ranges::find(held_->pools, name, &pool_contract::name);
    return it == held_->pools.end() ? nullptr : &*it;
}

auto contract_set_registry::match(host_name const& host,
                                  std::string_view path) const
    -> std::optional<queue_match>
{
    for (auto n = path.size() + 1; n-- > 0;)
    {
        auto const it =
            places_.find({host, queue_path{std::string{path.substr(0, n)}}});
        if (it != places_.end())
        {
            return queue_match{&held_->queues[it->second], path.substr(n)};
        }
    }
    return std::nullopt;
}

} // namespace apricotlb
