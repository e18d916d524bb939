#include "core/state/contract_set_registry.hpp"

#include <algorithm>
#include <string>

namespace apricotlb
{

contract_set_registry::contract_set_registry(
    std::optional<contract_set> current)
    : current_(std::move(current))
{
    rebuild_index();
}

auto contract_set_registry::rebuild_index() -> void
{
    queue_by_name_.clear();
    queue_by_place_.clear();
    for (std::size_t n = 0; current_ && n < current_->queues.size(); ++n)
    {
        auto const& it = current_->queues[n];
        queue_by_name_[it.name] = n;
        queue_by_place_[queue_place_of(it.host, it.prefix)] = n;
    }
}

auto contract_set_registry::apply(apply_contract_set const& it, revision at)
    -> apply_result
{
    apply_result answer;
    answer.at = at;
    if (!current_ || it.value.version > current_->version)
    {
        current_ = it.value;
        rebuild_index();
    }
    return answer;
}

auto contract_set_registry::queue(queue_name const& name) const
    -> queue_contract const*
{
    auto const it = queue_by_name_.find(name);
    return it == queue_by_name_.end() ? nullptr : &current_->queues[it->second];
}

auto contract_set_registry::pool(pool_name const& name) const
    -> pool_contract const*
{
    if (!current_)
    {
        return nullptr;
    }
    auto const it =
        std::ranges::find(current_->pools, name, &pool_contract::name);
    return it == current_->pools.end() ? nullptr : &*it;
}

auto contract_set_registry::match(host_name const& host,
                                  std::string_view path) const
    -> std::optional<queue_match>
{
    queue_place place{canonical_host(host), {}};
    for (auto n = path.size() + 1; n-- > 0;)
    {
        place.prefix = queue_path{std::string{path.substr(0, n)}};
        auto const it = queue_by_place_.find(place);
        if (it != queue_by_place_.end())
        {
            return queue_match{&current_->queues[it->second], path.substr(n)};
        }
    }
    return std::nullopt;
}

} // namespace apricotlb
