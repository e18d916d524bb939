/// Ports: exchanges with callers and calls to backend servers, both streamed.
#ifndef APRICOTLB_PORTS_HTTP_HPP
#define APRICOTLB_PORTS_HTTP_HPP

#include "core/entry/http.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>
#include <apricotlb/units.hpp>

#include <concepts>
#include <cstddef>
#include <functional>
#include <string_view>

namespace apricotlb
{

/// What an exchange reports. Nothing follows `gone`.
struct exchange_events
{
    std::function<void(std::string_view)> body; ///< a chunk of the request
    std::function<void()> body_end;
    std::function<void()> writable; ///< the answer's buffer has room again
    std::function<void()> closed;   ///< the caller left or all was written
};

/// One request of a caller and its answer. An answer may start before the
/// request body has ended; the rest of the body is then discarded.
template <class T>
concept exchange_port = requires(T& it, exchange_events events,
                                 answer_head head, std::string_view bytes) {
    {
        it.head()
    } -> std::same_as<request_head const&>;
    it.listen(std::move(events));
    it.pause_body();
    it.resume_body();
    it.start(std::move(head));
    it.write(bytes);
    it.end();
    /// Closes the connection so that the caller sees an incomplete answer.
    it.abort();
    {
        it.unwritten()
    } -> std::same_as<std::size_t>;
};

/// Accepts callers. `T::exchange` points at an exchange.
template <class T>
concept request_source_port =
    requires(T& it, std::function<void(typename T::exchange)> handler,
             std::function<void()> idle,
             std::function<void(error_kind)> refused) {
        requires exchange_port<
            std::remove_reference_t<decltype(*typename T::exchange{})>>;
        it.on_request(std::move(handler));
        it.stop_listening();
        /// Exchanges whose answer is not written yet.
        {
            it.open()
        } -> std::same_as<request_count>;
        /// Called when the last open exchange has ended.
        it.on_idle(std::move(idle));
        /// Called for each request that the source itself refuses.
        it.on_refused(std::move(refused));
    };

/// What a call reports. `end` comes last and once, unless cancelled.
struct upstream_events
{
    std::function<void()> writable; ///< the request's buffer has room again
    std::function<void(answer_head)> head;
    /// A chunk of the answer; the next one arrives after resume().
    std::function<void(std::string_view)> chunk;
    /// The answer is complete, or an error whose kind says whether the
    /// request may have run.
    std::function<void(result<void>)> end;
};

struct upstream_request
{
    backend_id backend;
    url address;
    connection_count connections; ///< open at once to this backend server
    request_head head;
};

/// One request to a backend server.
template <class T>
concept call_port = requires(T& it, std::string_view bytes) {
    it.write(bytes);
    it.end_body();
    it.resume();
    it.cancel();
    {
        it.unsent()
    } -> std::same_as<std::size_t>;
};

/// Opens calls. Events arrive after open() has returned. A request is sent at
/// most once per call.
template <class T>
concept upstream_port = requires(T& it, upstream_request request,
                                 upstream_events events) {
    requires call_port<std::remove_reference_t<decltype(*typename T::call{})>>;
    {
        it.open(std::move(request), std::move(events))
    } -> std::same_as<typename T::call>;
};

} // namespace apricotlb

#endif
