#include "adapters/soup_exchange.hpp"

#include <apricotlb/config.hpp>

#include <libsoup/soup.h>
#include <sys/socket.h>

#include <utility>

namespace apricotlb
{

namespace
{

auto now() -> time_point
{
    return time_point{duration{g_get_monotonic_time()}};
}

auto read_head(SoupServerMessage* message) -> request_head
{
    request_head it;
    it.method = soup_server_message_get_method(message);
    auto* const uri = soup_server_message_get_uri(message);
    it.path = g_uri_get_path(uri);
    if (auto const* const query = g_uri_get_query(uri); query != nullptr)
    {
        it.query = query;
    }
    auto* const headers = soup_server_message_get_request_headers(message);
    SoupMessageHeadersIter iter;
    soup_message_headers_iter_init(&iter, headers);
    char const* name{nullptr};
    char const* value{nullptr};
    while (soup_message_headers_iter_next(&iter, &name, &value) != FALSE)
    {
        it.headers.push_back({name, value});
    }
    switch (soup_message_headers_get_encoding(headers))
    {
    case SOUP_ENCODING_CONTENT_LENGTH:
        it.length =
            byte_count{soup_message_headers_get_content_length(headers)};
        it.has_body = it.length != byte_count{0};
        break;
    case SOUP_ENCODING_CHUNKED:
        it.has_body = true;
        break;
    default:
        it.length = byte_count{0};
    }
    return it;
}

} // namespace

soup_exchange::soup_exchange(SoupServerMessage* message)
    : message_(g_object_ref(message)), head_(read_head(message)),
      last_chunk_(now())
{
}

soup_exchange::~soup_exchange()
{
    g_object_unref(message_);
}

auto soup_exchange::listen(exchange_events events) -> void
{
    events_ = std::move(events);
}

auto soup_exchange::pause_body() -> void
{
    if (!body_done_ && !body_paused_ && !started_ && !gone_)
    {
        body_paused_ = true;
        soup_server_message_pause(message_);
    }
}

auto soup_exchange::resume_body() -> void
{
    if (body_paused_ && !gone_)
    {
        body_paused_ = false;
        last_chunk_ = now();
        soup_server_message_unpause(message_);
    }
}

auto soup_exchange::wake() -> void
{
    if (body_done_)
    {
        waiting_ = false;
        soup_server_message_unpause(message_);
    }
}

auto soup_exchange::start(answer_head head) -> void
{
    if (started_ || gone_)
    {
        return;
    }
    started_ = true;
    started_at_ = now();
    auto const status = static_cast<guint>(head.status);
    no_body_ = head_.method == "HEAD" || status == 204 || status == 304;
    soup_server_message_set_status(message_, status, nullptr);
    auto* const headers = soup_server_message_get_response_headers(message_);
    for (auto const& [name, value] : head.headers)
    {
        soup_message_headers_append(headers, name.c_str(), value.c_str());
    }
    if (close_after_)
    {
        soup_message_headers_append(headers, "Connection", "close");
    }
    if (head.length)
    {
        soup_message_headers_set_content_length(headers, head.length->value());
    }
    else if (status != 204 && status != 304)
    {
        auto const old =
            soup_server_message_get_http_version(message_) == SOUP_HTTP_1_0;
        soup_message_headers_set_encoding(headers, old ? SOUP_ENCODING_EOF
                                                       : SOUP_ENCODING_CHUNKED);
    }
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message_), FALSE);
    if (!body_done_)
    {
        resume_body();
    }
    wake();
}

auto soup_exchange::write(std::string_view bytes) -> void
{
    if (!started_ || ended_ || gone_ || no_body_ || bytes.empty())
    {
        return;
    }
    unwritten_ += bytes.size();
    soup_message_body_append(soup_server_message_get_response_body(message_),
                             SOUP_MEMORY_COPY, bytes.data(), bytes.size());
    wake();
}

auto soup_exchange::end() -> void
{
    if (!started_ || ended_ || gone_)
    {
        return;
    }
    ended_ = true;
    soup_message_body_complete(soup_server_message_get_response_body(message_));
    wake();
}

auto soup_exchange::abort() -> void
{
    if (gone_)
    {
        return;
    }
    // libsoup reports nothing more of a message without its connection.
    gone_ = true;
    events_ = {};
    if (auto* const socket = soup_server_message_get_socket(message_);
        socket != nullptr)
    {
        // libsoup writes a last chunk when it drops its stream, so sending
        // ends first. Without a length the end of the connection would pass
        // for the end of the answer; dissolving it resets it instead.
        auto const fd = g_socket_get_fd(socket);
        sockaddr const none{.sa_family = AF_UNSPEC, .sa_data = {}};
        auto const unbounded =
            soup_message_headers_get_encoding(
                soup_server_message_get_response_headers(message_)) ==
            SOUP_ENCODING_EOF;
        if (!unbounded || connect(fd, &none, sizeof none) != 0)
        {
            shutdown(fd, SHUT_RDWR);
        }
    }
    auto* const keep = g_object_ref(message_);
    auto* const stream = soup_server_message_steal_connection(message_);
    if (stream != nullptr)
    {
        g_io_stream_close(stream, nullptr, nullptr);
        g_object_unref(stream);
    }
    g_object_unref(keep);
}

auto soup_exchange::take_chunk(std::string_view bytes, time_point at) -> void
{
    last_chunk_ = at;
    received_ += byte_count{static_cast<std::int64_t>(bytes.size())};
    if (!started_ && events_.body)
    {
        events_.body(bytes);
    }
}

auto soup_exchange::take_body_end() -> void
{
    body_done_ = true;
    body_paused_ = false;
    if (!started_)
    {
        waiting_ = true;
        soup_server_message_pause(message_);
        if (events_.body_end)
        {
            events_.body_end();
        }
    }
}

auto soup_exchange::take_written(std::size_t n) -> void
{
    unwritten_ -= std::min(n, unwritten_);
    if (!ended_ && events_.writable && unwritten_ < config::body_buffer_bytes)
    {
        events_.writable();
    }
}

auto soup_exchange::take_finished() -> void
{
    gone_ = true;
    auto const events = std::exchange(events_, {});
    if (events.closed)
    {
        events.closed();
    }
}

auto soup_exchange::sweep(time_point at) -> void
{
    if (gone_)
    {
        return;
    }
    auto leave = false;
    if (!body_done_ && !body_paused_)
    {
        leave = at - last_chunk_ > config::caller_body_timeout ||
                (started_ && at - started_at_ > config::body_discard_timeout);
    }
    auto* const socket = soup_server_message_get_socket(message_);
    if (!leave && (waiting_ || body_paused_) && socket != nullptr)
    {
        // libsoup does not watch a paused message's connection.
        char byte{0};
        auto const n =
            recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        leave = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
    }
    if (leave)
    {
        auto const events = std::exchange(events_, {});
        abort();
        if (events.closed)
        {
            events.closed();
        }
    }
}

auto reply(soup_exchange& to, http_answer const& it) -> void
{
    to.start({it.status, it.headers,
              byte_count{static_cast<std::int64_t>(it.body.size())}});
    to.write(it.body);
    to.end();
}

} // namespace apricotlb
