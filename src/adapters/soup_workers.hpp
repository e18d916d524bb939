/// Worker client port by libsoup: commands as JSON to a worker's address.
#ifndef APRICOTLB_ADAPTERS_SOUP_WORKERS_HPP
#define APRICOTLB_ADAPTERS_SOUP_WORKERS_HPP

#include "ports/worker_client.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <functional>
#include <memory>

namespace apricotlb
{

/// Posts each command to /v1/tasks/{job}/{index}/{verb} of the worker.
class soup_workers
{
public:
    soup_workers();
    soup_workers(soup_workers const&) = delete;
    auto operator=(soup_workers const&) -> soup_workers& = delete;
    ~soup_workers();

    auto send(url const& to, worker_command const& it,
              std::function<void(result<void>)> done) -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

static_assert(worker_client_port<soup_workers>);

} // namespace apricotlb

#endif
