/// A small HTTP client and server over libsoup, for the examples.
#ifndef APRICOTLB_EXAMPLES_HTTP_HPP
#define APRICOTLB_EXAMPLES_HTTP_HPP

#include <apricotlb/time.hpp>

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace apricotlb::examples
{

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_reply
{
    unsigned status{0}; ///< 0 when no complete answer arrived
    std::string body;
};

/// Sends requests without waiting; the callback runs once per request.
class http_client
{
public:
    explicit http_client(seconds timeout)
        : session_(soup_session_new_with_options(
                       "max-conns", connections, "max-conns-per-host",
                       connections, "timeout",
                       static_cast<guint>(timeout.count()), nullptr),
                   &g_object_unref)
    {
        g_object_set(session_.get(), "proxy-resolver", nullptr, nullptr);
    }

    auto send(std::string const& method, std::string const& target,
              header_list const& headers, std::string_view body,
              std::function<void(http_reply)> done) -> void
    {
        auto* const message = soup_message_new(method.c_str(), target.c_str());
        if (message == nullptr)
        {
            done({});
            return;
        }
        auto* const to = soup_message_get_request_headers(message);
        for (auto const& [name, value] : headers)
        {
            soup_message_headers_replace(to, name.c_str(), value.c_str());
        }
        if (!body.empty())
        {
            auto* const bytes = g_bytes_new(body.data(), body.size());
            soup_message_set_request_body_from_bytes(message,
                                                     "application/json", bytes);
            g_bytes_unref(bytes);
        }
        auto call = std::make_unique<pending>();
        call->message = message;
        call->done = std::move(done);
        soup_session_send_and_read_async(session_.get(), message,
                                         G_PRIORITY_DEFAULT, nullptr, &finish,
                                         call.release());
    }

private:
    static constexpr int connections = 256;

    struct pending
    {
        SoupMessage* message{nullptr};
        std::function<void(http_reply)> done;
    };

    static auto finish(GObject* source, GAsyncResult* result, gpointer data)
        -> void
    {
        std::unique_ptr<pending> const call{static_cast<pending*>(data)};
        http_reply reply;
        GError* failure{nullptr};
        auto* const bytes = soup_session_send_and_read_finish(
            SOUP_SESSION(source), result, &failure);
        if (bytes != nullptr)
        {
            gsize size{0};
            auto const* const text =
                static_cast<char const*>(g_bytes_get_data(bytes, &size));
            reply.status = soup_message_get_status(call->message);
            reply.body = size == 0 ? std::string{} : std::string{text, size};
            g_bytes_unref(bytes);
        }
        g_clear_error(&failure);
        g_object_unref(call->message);
        call->done(std::move(reply));
    }

    std::unique_ptr<SoupSession, decltype(&g_object_unref)> session_;
};

/// One request as the server received it.
struct http_request
{
    SoupServerMessage* message;
    std::string method;
    std::string path;
    std::string_view body;

    /// Value of a header, or empty.
    [[nodiscard]] auto header(char const* name) const -> std::string
    {
        auto const* const it = soup_message_headers_get_one(
            soup_server_message_get_request_headers(message), name);
        return it == nullptr ? std::string{} : std::string{it};
    }

    auto answer(unsigned status, char const* type, std::string_view text) const
        -> void
    {
        soup_server_message_set_status(message, status, nullptr);
        soup_server_message_set_response(message, type, SOUP_MEMORY_COPY,
                                         text.data(), text.size());
    }

    auto answer_json(unsigned status, std::string_view text) const -> void
    {
        answer(status, "application/json", text);
    }
};

/// Listens on 127.0.0.1.
class http_server
{
public:
    explicit http_server(std::function<void(http_request const&)> handle)
        : server_(soup_server_new(nullptr, nullptr), &g_object_unref),
          handle_(std::make_unique<std::function<void(http_request const&)>>(
              std::move(handle)))
    {
        soup_server_add_handler(server_.get(), nullptr, &receive, handle_.get(),
                                nullptr);
    }

    /// Listens on a port, or on any free one when it is 0; returns the URL
    /// or an empty text.
    auto listen(std::uint16_t port) -> std::string
    {
        std::unique_ptr<GInetAddress, decltype(&g_object_unref)> const ip{
            g_inet_address_new_from_string("127.0.0.1"), &g_object_unref};
        std::unique_ptr<GSocketAddress, decltype(&g_object_unref)> const at{
            g_inet_socket_address_new(ip.get(), port), &g_object_unref};
        GError* failure{nullptr};
        if (soup_server_listen(server_.get(), at.get(),
                               static_cast<SoupServerListenOptions>(0),
                               &failure) == FALSE)
        {
            g_clear_error(&failure);
            return {};
        }
        auto* const uris = soup_server_get_uris(server_.get());
        auto const bound = g_uri_get_port(static_cast<GUri*>(uris->data));
        g_slist_free_full(uris, [](gpointer it)
                          { g_uri_unref(static_cast<GUri*>(it)); });
        return "http://127.0.0.1:" + std::to_string(bound);
    }

private:
    static auto receive(SoupServer*, SoupServerMessage* message,
                        char const* path, GHashTable*, gpointer data) -> void
    {
        auto* const body = soup_server_message_get_request_body(message);
        auto const& handle =
            *static_cast<std::function<void(http_request const&)>*>(data);
        auto* const bytes = soup_message_body_flatten(body);
        gsize size{0};
        auto const* const text =
            static_cast<char const*>(g_bytes_get_data(bytes, &size));
        handle({message, soup_server_message_get_method(message), path,
                size == 0 ? std::string_view{} : std::string_view{text, size}});
        g_bytes_unref(bytes);
    }

    std::unique_ptr<SoupServer, decltype(&g_object_unref)> server_;
    std::unique_ptr<std::function<void(http_request const&)>> handle_;
};

/// Several entry processes; a failed one is followed by the next.
class entry_list
{
public:
    explicit entry_list(std::vector<std::string> urls) : urls_(std::move(urls))
    {
    }
    [[nodiscard]] auto current() const -> std::string const&
    {
        return urls_[at_ % urls_.size()];
    }
    auto next() -> void { ++at_; }
    auto start_at(std::size_t n) -> void { at_ = n; }

private:
    std::vector<std::string> urls_;
    std::size_t at_{0};
};

} // namespace apricotlb::examples

#endif
