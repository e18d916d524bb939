#include "adapters/soup_call.hpp"

#include "adapters/body_stream.hpp"
#include "adapters/tail_connection.hpp"

#include <apricotlb/config.hpp>

#include <libsoup/soup.h>

#include <algorithm>
#include <array>
#include <utility>

namespace apricotlb
{

namespace
{

constexpr std::size_t read_bytes = config::body_buffer_bytes;

/// Reads of one call before others get their turn.
constexpr int reads_per_turn = 8;

using keep_alive = std::shared_ptr<soup_call>;
using weak_call = std::weak_ptr<soup_call>;

template <class T>
auto destroy(gpointer it) -> void
{
    std::default_delete<T>{}(static_cast<T*>(it));
}

auto read_head(SoupMessage* message) -> answer_head
{
    answer_head it;
    it.status = static_cast<http_status>(soup_message_get_status(message));
    auto* const headers = soup_message_get_response_headers(message);
    SoupMessageHeadersIter iter;
    soup_message_headers_iter_init(&iter, headers);
    char const* name{nullptr};
    char const* value{nullptr};
    while (soup_message_headers_iter_next(&iter, &name, &value) != FALSE)
    {
        if (!is_hop_by_hop(name))
        {
            it.headers.push_back({name, value});
        }
    }
    if (soup_message_headers_get_encoding(headers) ==
        SOUP_ENCODING_CONTENT_LENGTH)
    {
        it.length =
            byte_count{soup_message_headers_get_content_length(headers)};
    }
    return it;
}

} // namespace

session::session(url to, connection_count limit)
    : handle(soup_session_new_with_options(
          "max-conns", 1024, "max-conns-per-host", limit.value(),
          "idle-timeout",
          static_cast<guint>(
              std::chrono::duration_cast<seconds>(config::backend_idle_timeout)
                  .count()),
          "timeout", 0U, "proxy-resolver", nullptr, nullptr)),
      address(std::move(to)), most(limit)
{
    // Answers pass unchanged, so nothing may decode them or answer a
    // challenge in the caller's place.
    tail_connection::install();
    soup_session_remove_feature_by_type(handle, SOUP_TYPE_CONTENT_DECODER);
    soup_session_remove_feature_by_type(handle, SOUP_TYPE_AUTH_MANAGER);
}

session::~session()
{
    g_object_unref(handle);
    for (auto const& [id, it] : connections_)
    {
        g_object_unref(it);
    }
}

auto session::take_connection(std::uint64_t id, GIOStream* it) -> void
{
    std::erase_if(connections_,
                  [](auto const& old)
                  {
                      auto const closed =
                          g_io_stream_is_closed(old.second) != FALSE;
                      if (closed)
                      {
                          g_object_unref(old.second);
                      }
                      return closed;
                  });
    if (connections_.emplace(id, it).second)
    {
        g_object_ref(it);
    }
}

auto session::has_last_chunk(std::uint64_t id) const -> bool
{
    auto const it = connections_.find(id);
    return it != connections_.end() &&
           tail_connection::has_last_chunk(it->second);
}

soup_call::soup_call(std::shared_ptr<session> over, request_head const& head,
                     upstream_events events)
    : session_(std::move(over)), cancellable_(g_cancellable_new()),
      events_(std::move(events))
{
    session_->running += connection_count{1};
    auto text = session_->address.value() + head.path;
    if (!head.query.empty())
    {
        text += "?" + head.query;
    }
    message_ = soup_message_new(head.method.c_str(), text.c_str());
    if (message_ == nullptr)
    {
        return;
    }
    soup_message_add_flags(message_, SOUP_MESSAGE_NO_REDIRECT);
    auto* const headers = soup_message_get_request_headers(message_);
    for (auto const& [name, value] : head.headers)
    {
        if (!is_hop_by_hop(name))
        {
            soup_message_headers_append(headers, name.c_str(), value.c_str());
        }
    }
    if (head.has_body)
    {
        body_ = body_stream::make(
            [this]
            {
                if (!done_ && events_.writable)
                {
                    events_.writable();
                }
            });
        // The type is among the headers already; libsoup would replace it, and
        // read the name that it has just freed.
        soup_message_set_request_body(message_, nullptr, body_,
                                      head.length ? head.length->value() : -1);
    }
    else if (head.method == "POST" || head.method == "PUT" ||
             head.method == "PATCH")
    {
        soup_message_headers_set_content_length(headers, 0);
    }
    g_signal_connect(message_, "starting", G_CALLBACK(on_starting), this);
    g_signal_connect(message_, "network-event", G_CALLBACK(on_network), this);
    g_signal_connect(message_, "restarted", G_CALLBACK(on_restarted), this);
}

soup_call::~soup_call()
{
    if (!done_)
    {
        g_cancellable_cancel(cancellable_);
    }
    close();
    session_->running -= connection_count{1};
    if (message_ != nullptr)
    {
        g_signal_handlers_disconnect_by_data(message_, this);
        g_object_unref(message_);
    }
    if (body_ != nullptr)
    {
        body_stream::abandon(body_);
        g_object_unref(body_);
    }
    g_object_unref(cancellable_);
}

auto soup_call::on_starting(SoupMessage* /*message*/, void* self) -> void
{
    static_cast<soup_call*>(self)->started_ = true;
}

auto soup_call::on_restarted(SoupMessage* /*message*/, void* self) -> void
{
    // libsoup would send the request again on a new connection. Whether to
    // repeat is decided by the retry policy alone.
    auto& it = *static_cast<soup_call*>(self);
    if (it.started_)
    {
        g_cancellable_cancel(it.cancellable_);
    }
}

auto soup_call::on_network(SoupMessage* message, GSocketClientEvent event,
                           GIOStream* connection, void* self) -> void
{
    if (event == G_SOCKET_CLIENT_CONNECTED && connection != nullptr)
    {
        static_cast<soup_call*>(self)->session_->take_connection(
            soup_message_get_connection_id(message), connection);
    }
}

auto soup_call::is_complete() const -> bool
{
    auto* const headers = soup_message_get_response_headers(message_);
    auto const status = soup_message_get_status(message_);
    return soup_message_headers_get_encoding(headers) !=
               SOUP_ENCODING_CHUNKED ||
           soup_message_get_method(message_) == SOUP_METHOD_HEAD ||
           status == SOUP_STATUS_NO_CONTENT ||
           status == SOUP_STATUS_NOT_MODIFIED ||
           session_->has_last_chunk(soup_message_get_connection_id(message_));
}

auto soup_call::send() -> void
{
    if (message_ == nullptr)
    {
        wake_later();
        return;
    }
    soup_session_send_async(session_->handle, message_, G_PRIORITY_DEFAULT,
                            cancellable_, on_head,
                            new keep_alive{shared_from_this()});
}

auto soup_call::on_head(GObject* session, GAsyncResult* it, void* keep) -> void
{
    std::unique_ptr<keep_alive> const self{static_cast<keep_alive*>(keep)};
    GError* ec{nullptr};
    auto* const stream =
        soup_session_send_finish(SOUP_SESSION(session), it, &ec);
    (*self)->take_head(stream, ec);
    g_clear_error(&ec);
}

auto soup_call::take_head(GInputStream* stream, GError const* ec) -> void
{
    answer_ = stream;
    if (done_)
    {
        close();
        return;
    }
    if (stream == nullptr)
    {
        finish(outcome::failure(failure(ec->message)));
        return;
    }
    headed_ = true;
    if (events_.head)
    {
        events_.head(read_head(message_));
    }
    read();
}

auto soup_call::read() -> void
{
    auto const keep = shared_from_this();
    if (reading_)
    {
        return;
    }
    reading_ = true;
    auto n = 0;
    while (!done_ && !paused_ && n < reads_per_turn && read_once())
    {
        ++n;
    }
    reading_ = false;
    if (!done_ && !paused_ && n == reads_per_turn)
    {
        wake_later();
    }
}

auto soup_call::read_once() -> bool
{
    // The loop has one thread and a chunk is consumed before the next read.
    static std::array<char, read_bytes> buf;
    GError* ec{nullptr};
    auto const n = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(answer_), buf.data(), buf.size(), cancellable_,
        &ec);
    if (n > 0)
    {
        paused_ = true;
        if (events_.chunk)
        {
            events_.chunk({buf.data(), static_cast<std::size_t>(n)});
        }
        return true;
    }
    if (n == 0)
    {
        finish(is_complete() ? result<void>{outcome::success()}
                             : result<void>{outcome::failure(failure(
                                   "the answer ended before its last chunk"))});
        return false;
    }
    if (g_error_matches(ec, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE)
    {
        g_clear_error(&ec);
        wait_readable();
        return false;
    }
    auto const why = failure(ec->message);
    g_clear_error(&ec);
    finish(outcome::failure(why));
    return false;
}

auto soup_call::wait_readable() -> void
{
    auto* const source = g_pollable_input_stream_create_source(
        G_POLLABLE_INPUT_STREAM(answer_), cancellable_);
    g_source_set_callback(source, G_SOURCE_FUNC(on_readable),
                          new weak_call{weak_from_this()}, destroy<weak_call>);
    source_ = g_source_attach(source, nullptr);
    g_source_unref(source);
}

auto soup_call::wake_later() -> void
{
    if (source_ == 0)
    {
        source_ = g_idle_add_full(G_PRIORITY_DEFAULT, on_wake,
                                  new weak_call{weak_from_this()},
                                  destroy<weak_call>);
    }
}

auto soup_call::on_wake(void* weak) -> int
{
    if (auto const it = static_cast<weak_call*>(weak)->lock(); it)
    {
        it->source_ = 0;
        if (it->message_ == nullptr)
        {
            it->finish(fail(error_kind::backend_refused,
                            "the backend server's address is not a URL"));
        }
        else if (!it->done_)
        {
            it->read();
        }
    }
    return G_SOURCE_REMOVE;
}

auto soup_call::on_readable(GObject* /*stream*/, void* weak) -> int
{
    return on_wake(weak);
}

auto soup_call::resume() -> void
{
    if (done_ || !paused_)
    {
        return;
    }
    paused_ = false;
    if (!reading_)
    {
        wake_later();
    }
}

auto soup_call::write(std::string_view bytes) -> void
{
    if (body_ != nullptr && !done_)
    {
        body_stream::write(body_, bytes);
    }
}

auto soup_call::end_body() -> void
{
    if (body_ != nullptr && !done_)
    {
        body_stream::end(body_);
    }
}

auto soup_call::unsent() const -> std::size_t
{
    return body_ == nullptr ? 0 : body_stream::size(body_);
}

auto soup_call::cancel() -> void
{
    if (done_)
    {
        return;
    }
    auto const keep = weak_from_this().lock();
    done_ = true;
    events_ = {};
    g_cancellable_cancel(cancellable_);
    if (body_ != nullptr)
    {
        body_stream::abandon(body_);
    }
    close();
}

auto soup_call::finish(result<void> how) -> void
{
    if (done_)
    {
        return;
    }
    auto const keep = shared_from_this();
    done_ = true;
    auto const events = std::exchange(events_, {});
    if (how.has_error())
    {
        g_cancellable_cancel(cancellable_);
    }
    if (body_ != nullptr)
    {
        body_stream::abandon(body_);
    }
    close();
    if (events.end)
    {
        events.end(std::move(how));
    }
}

auto soup_call::close() -> void
{
    if (source_ != 0)
    {
        g_source_remove(source_);
        source_ = 0;
    }
    if (answer_ != nullptr)
    {
        // With a cancelled cancellable libsoup drops the connection instead
        // of reading the rest of the answer.
        g_input_stream_close(answer_, cancellable_, nullptr);
        g_object_unref(answer_);
        answer_ = nullptr;
    }
}

auto soup_call::failure(std::string text) const -> error
{
    if (headed_)
    {
        return {error_kind::backend_cut_answer, std::move(text)};
    }
    if (!started_)
    {
        return {error_kind::backend_refused, std::move(text)};
    }
    return {error_kind::backend_failed, std::move(text)};
}

} // namespace apricotlb
