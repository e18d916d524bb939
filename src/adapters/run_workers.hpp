/// Run worker port over HTTP; Codec knows paths, headers and bodies.
#ifndef APRICOTLB_ADAPTERS_RUN_WORKERS_HPP
#define APRICOTLB_ADAPTERS_RUN_WORKERS_HPP

#include "adapters/curl_requests.hpp"
#include "core/fleet/worker_messages.hpp"
#include "ports/run_worker.hpp"

#include <apricotlb/result.hpp>
#include <apricotlb/time.hpp>

#include <functional>
#include <type_traits>
#include <utility>

namespace apricotlb
{

/// Encodes orders as requests and decodes their answers.
template <class T>
concept run_codec = requires(start_order const& start, stop_order const& stop,
                             pace_order const& pace, poll_order const& poll,
                             http_answer const& answer) {
    {
        T::encode(start)
    } -> std::same_as<outgoing_request>;
    {
        T::encode(stop)
    } -> std::same_as<outgoing_request>;
    {
        T::encode(pace)
    } -> std::same_as<outgoing_request>;
    {
        T::encode(poll)
    } -> std::same_as<outgoing_request>;
    {
        T::decode_order(answer)
    } -> std::same_as<order_answer>;
    {
        T::decode_poll(answer)
    } -> std::same_as<poll_answer>;
};

template <run_codec Codec>
class run_workers
{
public:
    explicit run_workers(curl_requests& http) : http_(http) {}

    template <class Order>
    auto send(Order const& it, std::function<void(answer_to<Order>)> done)
        -> void
    {
        send(it, std::move(done), answer_time(it));
    }

    template <class Order>
    auto send(Order const& it, std::function<void(answer_to<Order>)> done,
              duration timeout) -> void
    {
        auto request = Codec::encode(it);
        request.timeout = timeout;
        request.repeatable = true;
        http_.send(
            request, [done = std::move(done)](result<http_answer> got)
            { done(got ? decode<Order>(got.value()) : answer_to<Order>{}); });
    }

private:
    template <class Order>
    [[nodiscard]] static auto decode(http_answer const& it) -> answer_to<Order>
    {
        if constexpr (std::is_same_v<Order, poll_order>)
        {
            return Codec::decode_poll(it);
        }
        else
        {
            return Codec::decode_order(it);
        }
    }

    curl_requests& http_;
};

} // namespace apricotlb

#endif
