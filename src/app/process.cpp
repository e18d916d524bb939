#include "app/process.hpp"

#include "adapters/log.hpp"
#include "adapters/yaml_settings.hpp"
#include "core/group/socket_address.hpp"

#include <cstdint>
#include <string>
#include <utility>

namespace apricotlb
{

namespace
{

logger const process_log{"process"};

} // namespace

auto new_incarnation(glib_clock const& clock) -> incarnation
{
    return incarnation{static_cast<std::uint64_t>(
        clock.exact_wall_now().time_since_epoch().count())};
}

auto report_end(error const& it) -> exit_code
{
    process_log.error("stopped",
                      {{"kind", name_of(it.kind)}, {"detail", it.detail}});
    return answer_of(it.kind).exit;
}

auto peer_key(settings const& it) -> result<shared_key>
{
    if (it.trust == peer_trust::network)
    {
        // A MAC with a fixed key does not authenticate the sender, but still
        // detects damaged messages and messages of another protocol.
        return shared_key{"apricotlb"};
    }
    BOOST_OUTCOME_TRY(text, read_secret(it.key_file));
    return shared_key{std::move(text)};
}

auto include_log_counts(metrics& counts) -> void
{
    counts.on_read(
        [&counts]
        {
            auto const it = log_counts();
            counts.set_total(metric::log_lines, "written", it.written);
            counts.set_total(metric::log_lines, "dropped", it.dropped);
            counts.set_total(metric::log_time, "",
                             static_cast<std::uint64_t>(it.time.count()));
        });
}

auto apply_clock_offset(result<settings> const& it, glib_clock& clock) -> void
{
    if (it)
    {
        clock.set_wall_offset(it.value().clock_offset);
    }
}

auto log_reload(result<settings> const& it) -> void
{
    if (it.has_error())
    {
        process_log.warning("settings_refused",
                            {{"detail", it.error().detail}});
        return;
    }
    process_log.info("settings_reloaded",
                     {{"seeds", it.value().discovery.seeds.size()}});
}

peer_node::peer_node(node_id self, shared_key key, glib_clock& clock,
                     metrics& counts)
    : self_(std::move(self)), auth_(std::move(key)), clock_(clock),
      metrics_(counts)
{
}

peer_node::~peer_node()
{
    link_.abandon();
}

auto peer_node::listen(url const& at, std::uint32_t ports) -> result<url>
{
    auto bound = link_.listen(at);
    // After a crash the port may stay in TIME_WAIT for a minute, and nng does
    // not set SO_REUSEADDR.
    for (std::uint32_t offset = 1; offset < ports && bound.has_error();
         ++offset)
    {
        auto const next = with_port_offset(at.value(), offset);
        if (!next)
        {
            break;
        }
        bound = link_.listen(url{*next});
    }
    return bound;
}

auto peer_node::start(settings const& it, url const& at, incarnation run)
    -> result<void>
{
    BOOST_OUTCOME_TRY(bound, listen(at, it.peer_ports));
    transport_.emplace(transport::identity{self_, run, std::move(bound)},
                       clock_, link_, auth_, metrics_);
    for (auto const& [id, address] : it.control)
    {
        if (id != self_)
        {
            transport_->add_peer(id, peer_url(address.value()));
        }
    }
    return outcome::success();
}

} // namespace apricotlb
