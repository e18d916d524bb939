/// Ports: exchanges with callers and calls to backend servers. Bodies are
/// streamed in both directions.
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

/// Events of an exchange. No event follows `closed`.
struct exchange_events
{
    std::function<void(std::string_view)> body; ///< a chunk of the request
    std::function<void()> body_end;
    std::function<void()> writable; ///< the answer's buffer has free space
    /// The caller disconnected or the complete answer was written.
    std::function<void()> closed;
};

/// One request of a caller and its answer. If an answer starts before the end
/// of the request body, the rest of the body is discarded.
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
    /// Closes the connection so that the caller receives an incomplete answer.
    it.abort();
    /// Bytes of the answer that are not yet written to the connection.
    {
        it.unwritten()
    } -> std::same_as<std::size_t>;
};

/// Accepts connections of callers. `T::exchange` is a pointer to an exchange.
template <class T>
concept request_source_port =
    requires(T& it, std::function<void(typename T::exchange)> handler,
             std::function<void()> idle,
             std::function<void(error_kind)> refused) {
        requires exchange_port<
            std::remove_reference_t<decltype(*typename T::exchange{})>>;
        it.on_request(std::move(handler));
        /// Tells callers with each answer to close their connection.
        it.close_after_answers();
        it.stop_listening();
        /// Closes the connections on which no request has begun to arrive.
        it.close_idle();
        {
            it.connections()
        } -> std::same_as<connection_count>;
        /// Number of exchanges whose answer is not completely written.
        {
            it.open()
        } -> std::same_as<request_count>;
        /// Sets the handler that is called when the last open exchange ends.
        it.on_idle(std::move(idle));
        /// Sets the handler that is called for each request that the source
        /// itself refuses.
        it.on_refused(std::move(refused));
    };

/// Events of a call. `end` is the last event and occurs once, unless the call
/// is cancelled.
struct upstream_events
{
    std::function<void()> writable; ///< the request's buffer has free space
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
    connection_count connections; ///< limit of connections to the server
    request_head head;
};

/// One request to a backend server.
template <class T>
concept call_port = requires(T& it, std::string_view bytes) {
    it.write(bytes);
    it.end_body();
    it.resume();
    it.cancel();
    /// Bytes of the request that are not yet sent.
    {
        it.unsent()
    } -> std::same_as<std::size_t>;
};

/// Opens calls. Events occur only after open() has returned. A call sends its
/// request at most once.
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
