#include "adapters/soup_requests.hpp"

#include <libsoup/soup.h>

#include <chrono>
#include <utility>

namespace apricotlb
{

struct soup_requests::state
{
    SoupSession* session{nullptr};
    GCancellable* closing{nullptr};
};

namespace
{

constexpr gint max_connections = 4096;
/// One for a request whose answer waits, the others for short requests.
constexpr gint max_connections_per_host = 4;
constexpr guint idle_timeout_s = 60;

/// One request in flight.
struct pending
{
    SoupMessage* message;
    GCancellable* closing; ///< ends every request with its owner
    GCancellable* cancel;  ///< ends this one at its timeout
    guint timer{0};
    soup_requests::callback done;

    pending(SoupMessage* it, GCancellable* owner, soup_requests::callback run)
        : message(it), closing(static_cast<GCancellable*>(g_object_ref(owner))),
          cancel(g_cancellable_new()), done(std::move(run))
    {
    }
    pending(pending const&) = delete;
    auto operator=(pending const&) -> pending& = delete;
    ~pending()
    {
        if (timer != 0)
        {
            g_source_remove(timer);
        }
        g_object_unref(message);
        g_object_unref(cancel);
        g_object_unref(closing);
    }
};

auto on_timeout(gpointer data) -> gboolean
{
    auto& it = *static_cast<pending*>(data);
    it.timer = 0;
    g_cancellable_cancel(it.cancel);
    return G_SOURCE_REMOVE;
}

auto on_answer(GObject* session, GAsyncResult* answer, gpointer data) -> void
{
    std::unique_ptr<pending> const it{static_cast<pending*>(data)};
    GError* ec{nullptr};
    auto* bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(session), answer, &ec);
    if (g_cancellable_is_cancelled(it->closing) != FALSE)
    {
        g_clear_error(&ec);
        g_clear_pointer(&bytes, g_bytes_unref);
        return;
    }
    if (bytes == nullptr)
    {
        auto const late = g_cancellable_is_cancelled(it->cancel) != FALSE;
        std::string const text = ec->message;
        g_clear_error(&ec);
        it->done(fail(late ? error_kind::backend_timeout
                           : error_kind::backend_failed,
                      text));
        return;
    }
    gsize n{0};
    auto const* const text =
        static_cast<char const*>(g_bytes_get_data(bytes, &n));
    http_answer out;
    out.status = static_cast<http_status>(soup_message_get_status(it->message));
    out.body.assign(text == nullptr ? "" : text, n);
    g_bytes_unref(bytes);
    it->done(std::move(out));
}

} // namespace

soup_requests::soup_requests() : state_(std::make_unique<state>())
{
    state_->session = soup_session_new_with_options(
        "proxy-resolver", nullptr, "max-conns", max_connections,
        "max-conns-per-host", max_connections_per_host, "idle-timeout",
        idle_timeout_s, nullptr);
    state_->closing = g_cancellable_new();
}

soup_requests::~soup_requests()
{
    g_cancellable_cancel(state_->closing);
    soup_session_abort(state_->session);
    g_object_unref(state_->closing);
    g_object_unref(state_->session);
}

auto soup_requests::send(outgoing_request const& it, callback done) -> void
{
    auto* const message =
        soup_message_new(it.method.c_str(), it.to.value().c_str());
    if (message == nullptr)
    {
        done(fail(error_kind::bad_request,
                  "not a valid address: " + it.to.value()));
        return;
    }
    if (it.repeatable)
    {
        soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
    }
    auto* const headers = soup_message_get_request_headers(message);
    for (auto const& [name, value] : it.headers)
    {
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
    if (!it.body.empty())
    {
        auto* const bytes = g_bytes_new(it.body.data(), it.body.size());
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    auto call =
        std::make_unique<pending>(message, state_->closing, std::move(done));
    auto const ms = std::chrono::duration_cast<milliseconds>(it.timeout);
    call->timer =
        g_timeout_add(static_cast<guint>(ms.count()), on_timeout, call.get());
    auto* const cancel = call->cancel;
    soup_session_send_and_read_async(state_->session, message,
                                     G_PRIORITY_DEFAULT, cancel, on_answer,
                                     call.release());
}

} // namespace apricotlb
