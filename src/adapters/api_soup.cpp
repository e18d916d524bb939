#include "adapters/api_soup.hpp"

#include <libsoup/soup.h>

#include <chrono>
#include <utility>

namespace apricotlb
{

namespace
{

template <class T>
using object_ptr = std::unique_ptr<T, decltype(&g_object_unref)>;

/// Longest wait for an answer. A change answers once it is in force, which
/// takes up to 5 s.
constexpr auto call_timeout = std::chrono::seconds{10};

/// What a finished call leaves for the caller.
struct pending
{
    GMainLoop* loop;
    GBytes* body;
    GError* failure;
};

auto finish(GObject* source, GAsyncResult* done, gpointer data) -> void
{
    auto& it = *static_cast<pending*>(data);
    it.body = soup_session_send_and_read_finish(SOUP_SESSION(source), done,
                                                &it.failure);
    g_main_loop_quit(it.loop);
}

} // namespace

struct api_soup::impl
{
    std::string server;
    std::string token;
    object_ptr<SoupSession> session;
    std::unique_ptr<GMainLoop, decltype(&g_main_loop_unref)> loop;
};

api_soup::api_soup(url const& server, std::string token)
    : impl_(new impl{server.value(),
                     std::move(token),
                     {soup_session_new(), &g_object_unref},
                     {g_main_loop_new(nullptr, FALSE), &g_main_loop_unref}})
{
    while (impl_->server.ends_with('/'))
    {
        impl_->server.pop_back();
    }
    // Without a proxy: a token must reach nobody but the server named.
    g_object_set(impl_->session.get(), "timeout",
                 static_cast<guint>(call_timeout.count()), "proxy-resolver",
                 nullptr, nullptr);
}

api_soup::~api_soup() = default;

auto api_soup::call(api_request const& request) -> result<api_answer>
{
    auto const target = impl_->server + request.path;
    object_ptr<SoupMessage> const message{
        soup_message_new(request.method.c_str(), target.c_str()),
        &g_object_unref};
    if (!message)
    {
        return fail(error_kind::bad_request,
                    "server: must be http://<host>:<port>, got \"" +
                        impl_->server + "\"");
    }
    soup_message_add_flags(message.get(), SOUP_MESSAGE_NO_REDIRECT);
    auto* const headers = soup_message_get_request_headers(message.get());
    if (!impl_->token.empty())
    {
        auto const bearer = "Bearer " + impl_->token;
        soup_message_headers_replace(headers, "Authorization", bearer.c_str());
    }
    if (!request.change.value().empty())
    {
        soup_message_headers_replace(headers, "Apricotlb-Change-Id",
                                     request.change.value().c_str());
    }
    if (!request.body.empty())
    {
        auto* const bytes =
            g_bytes_new(request.body.data(), request.body.size());
        soup_message_set_request_body_from_bytes(message.get(),
                                                 "application/json", bytes);
        g_bytes_unref(bytes);
    }

    pending it{impl_->loop.get(), nullptr, nullptr};
    object_ptr<GCancellable> const cancel{g_cancellable_new(), &g_object_unref};
    auto const expire = [](gpointer data) -> gboolean
    {
        g_cancellable_cancel(static_cast<GCancellable*>(data));
        return G_SOURCE_CONTINUE;
    };
    auto const timer = g_timeout_add_seconds(
        static_cast<guint>(call_timeout.count()), expire, cancel.get());
    soup_session_send_and_read_async(impl_->session.get(), message.get(),
                                     G_PRIORITY_DEFAULT, cancel.get(), &finish,
                                     &it);
    g_main_loop_run(it.loop);
    g_source_remove(timer);

    if (it.failure != nullptr)
    {
        std::string const why{it.failure->message};
        g_error_free(it.failure);
        return fail(error_kind::no_leader,
                    "no answer from " + impl_->server + ": " + why);
    }
    gsize size{0};
    auto const* const data =
        static_cast<char const*>(g_bytes_get_data(it.body, &size));
    api_answer answer{
        static_cast<http_status>(soup_message_get_status(message.get())),
        size == 0 ? std::string{} : std::string{data, size}};
    g_bytes_unref(it.body);
    return answer;
}

auto api_soup::pause(duration d) -> void
{
    auto const stop = [](gpointer loop) -> gboolean
    {
        g_main_loop_quit(static_cast<GMainLoop*>(loop));
        return G_SOURCE_REMOVE;
    };
    auto const ms = std::chrono::ceil<milliseconds>(d).count();
    g_timeout_add(static_cast<guint>(ms), stop, impl_->loop.get());
    g_main_loop_run(impl_->loop.get());
}

auto api_soup::now() const -> time_point
{
    return time_point{duration{g_get_monotonic_time()}};
}

auto make_change_id() -> change_id
{
    auto* const text = g_uuid_string_random();
    change_id it{text};
    g_free(text);
    return it;
}

} // namespace apricotlb
