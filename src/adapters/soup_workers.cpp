#include "adapters/soup_workers.hpp"

#include "adapters/json_codec.hpp"

#include <libsoup/soup.h>

#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{

struct soup_workers::state
{
    SoupSession* session{nullptr};
    GCancellable* cancellable{nullptr};
};

namespace
{

constexpr guint command_timeout_s = 2;
constexpr gint max_connections = 512;
constexpr gint max_connections_per_worker = 4;

auto verb_of(worker_command const& it) -> std::string_view
{
    constexpr std::string_view verbs[] = {"start", "checkpoint", "throttle",
                                          "stop"};
    return verbs[it.index()];
}

/// One command in flight.
struct pending
{
    SoupMessage* message;
    std::function<void(result<void>)> done;

    ~pending() { g_object_unref(message); }
};

auto on_answer(GObject* session, GAsyncResult* answer, gpointer data) -> void
{
    std::unique_ptr<pending> const it{static_cast<pending*>(data)};
    GError* ec{nullptr};
    auto* const bytes =
        soup_session_send_and_read_finish(SOUP_SESSION(session), answer, &ec);
    if (bytes == nullptr)
    {
        auto const cancelled =
            g_error_matches(ec, G_IO_ERROR, G_IO_ERROR_CANCELLED) != FALSE;
        std::string const text = ec->message;
        g_clear_error(&ec);
        // The owner of the callback is being destroyed.
        if (!cancelled)
        {
            it->done(fail(error_kind::backend_failed, text));
        }
        return;
    }
    g_bytes_unref(bytes);
    auto const status = soup_message_get_status(it->message);
    if (status >= 200 && status < 300)
    {
        it->done(outcome::success());
        return;
    }
    it->done(fail(error_kind::backend_refused,
                  "the worker answered " +
                      std::to_string(static_cast<int>(status))));
}

} // namespace

soup_workers::soup_workers() : state_(std::make_unique<state>())
{
    state_->session = soup_session_new_with_options(
        "proxy-resolver", nullptr, "timeout", command_timeout_s, "max-conns",
        max_connections, "max-conns-per-host", max_connections_per_worker,
        nullptr);
    state_->cancellable = g_cancellable_new();
}

soup_workers::~soup_workers()
{
    g_cancellable_cancel(state_->cancellable);
    g_object_unref(state_->cancellable);
    g_object_unref(state_->session);
}

auto soup_workers::send(url const& to, worker_command const& it,
                        std::function<void(result<void>)> done) -> void
{
    auto const body = std::visit(
        [](auto const& value) { return json_codec::encode(value); }, it);
    auto const& task = std::visit([](auto const& value) -> task_id const&
                                  { return value.attempt.task; },
                                  it);
    auto const text = to.value() + "/v1/tasks/" + task.job.value() + "/" +
                      std::to_string(task.index.value()) + "/" +
                      std::string{verb_of(it)};
    auto* const message = soup_message_new("POST", text.c_str());
    if (message == nullptr)
    {
        done(fail(error_kind::bad_request,
                  "not a valid worker address: " + to.value()));
        return;
    }
    auto* const bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
    auto call = std::make_unique<pending>(message, std::move(done));
    soup_session_send_and_read_async(state_->session, message,
                                     G_PRIORITY_DEFAULT, state_->cancellable,
                                     on_answer, call.release());
}

} // namespace apricotlb
