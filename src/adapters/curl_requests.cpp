#include "adapters/curl_requests.hpp"

#include "adapters/glib_clock.hpp"

#include <apricotlb/config.hpp>

#include <curl/curl.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>

namespace apricotlb
{

namespace
{

constexpr long max_connections = 4096; ///< kept open while idle
/// One for a request whose answer waits, the others for short requests and for
/// repetitions of those that get no answer, which keep theirs until their time
/// is over.
constexpr long max_connections_per_host = 10;
constexpr std::size_t max_idle_handles = 256;
/// An answer beyond this is cut off and counts as failed.
constexpr std::size_t max_answer_bytes = config::max_message_bytes;

/// One request in flight.
struct transfer
{
    std::string body;
    curl_slist* headers{nullptr};
    std::string answer;
    curl_requests::callback done;
    time_point deadline{};
    int attempts{0}; ///< connections on which it may have been sent

    transfer() = default;
    transfer(transfer const&) = delete;
    auto operator=(transfer const&) -> transfer& = delete;
    ~transfer() { curl_slist_free_all(headers); }
};

auto take_bytes(char* bytes, std::size_t size, std::size_t n, void* to)
    -> std::size_t
{
    auto& answer = static_cast<transfer*>(to)->answer;
    if (answer.size() + size * n > max_answer_bytes)
    {
        return 0;
    }
    answer.append(bytes, size * n);
    return size * n;
}

/// Called before the request is sent on a connection. libcurl repeats one whose
/// connection was closed without an answer. Its own clock stands still while
/// the machine is suspended, so the time is checked here.
auto begin_attempt(void* of, char* /*to*/, char* /*from*/, int /*to_port*/,
                   int /*from_port*/) -> int
{
    auto& it = *static_cast<transfer*>(of);
    if (boot_time() >= it.deadline)
    {
        return CURL_PREREQFUNC_ABORT;
    }
    ++it.attempts;
    return CURL_PREREQFUNC_OK;
}

auto is_success(long status) -> bool
{
    return status >= 200 && status < 300;
}

auto to_ms(duration d) -> long
{
    return std::max<long>(
        1,
        static_cast<long>(std::chrono::duration_cast<milliseconds>(d).count()));
}

} // namespace

struct curl_requests::state
{
    CURLM* multi{curl_multi_init()};
    /// All sockets of libcurl. The loop visits each of its sources in every
    /// turn, so a source per socket would make each event cost more by the
    /// number of connections.
    int epoll_fd{epoll_create1(EPOLL_CLOEXEC)};
    guint ready{0};
    GSource* timer{nullptr};
    /// Which registration of a descriptor an event belongs to: a socket that is
    /// closed while events are served may have its number taken by the next.
    std::unordered_map<curl_socket_t, std::uint32_t> watched;
    std::uint32_t last_watch{0};
    std::unordered_map<CURL*, std::unique_ptr<transfer>> running;
    std::vector<CURL*> idle;

    auto start() -> void;
    auto act(curl_socket_t fd, int events) -> void;
    auto serve() -> void;
    auto finish(CURL* handle, CURLcode how) -> void;
    auto take_handle() -> CURL*;
    auto watch(curl_socket_t fd, int what) -> void;

    static auto on_socket(CURL* /*handle*/, curl_socket_t fd, int what,
                          void* self, void* /*fd_data*/) -> int
    {
        static_cast<state*>(self)->watch(fd, what);
        return 0;
    }

    static auto on_timer(CURLM* /*multi*/, long ms, void* self) -> int
    {
        g_source_set_ready_time(
            static_cast<state*>(self)->timer,
            ms < 0 ? -1 : g_get_monotonic_time() + gint64{ms} * 1000);
        return 0;
    }

    static auto on_time(gpointer self) -> gboolean
    {
        auto& it = *static_cast<state*>(self);
        g_source_set_ready_time(it.timer, -1);
        it.act(CURL_SOCKET_TIMEOUT, 0);
        return G_SOURCE_CONTINUE;
    }

    static auto on_ready(gint /*fd*/, GIOCondition /*condition*/, gpointer self)
        -> gboolean
    {
        static_cast<state*>(self)->serve();
        return G_SOURCE_CONTINUE;
    }
};

auto curl_requests::state::start() -> void
{
    ready = g_unix_fd_add(epoll_fd, G_IO_IN, on_ready, this);
    static GSourceFuncs functions{
        nullptr,
        nullptr,
        [](GSource*, GSourceFunc call, gpointer data) -> gboolean
        { return call(data); },
        nullptr,
        nullptr,
        nullptr};
    timer = g_source_new(&functions, sizeof(GSource));
    g_source_set_callback(timer, on_time, this, nullptr);
    g_source_attach(timer, nullptr);
}

/// Follows libcurl's wishes for one socket.
auto curl_requests::state::watch(curl_socket_t fd, int what) -> void
{
    auto events = std::uint32_t{0};
    events |= (what & CURL_POLL_IN) != 0 ? std::uint32_t{EPOLLIN} : 0U;
    events |= (what & CURL_POLL_OUT) != 0 ? std::uint32_t{EPOLLOUT} : 0U;
    if (what == CURL_POLL_REMOVE || events == 0)
    {
        // The kernel has removed a socket that is closed already.
        epoll_ctl(epoll_fd, EPOLL_CTL_DEL, fd, nullptr);
        watched.erase(fd);
        return;
    }
    auto const [it, added] = watched.try_emplace(fd);
    if (added)
    {
        it->second = ++last_watch;
    }
    epoll_event wish{};
    wish.events = events;
    wish.data.u64 =
        std::uint64_t{it->second} << 32U | static_cast<std::uint32_t>(fd);
    if (epoll_ctl(epoll_fd, added ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, fd, &wish) !=
        0)
    {
        epoll_ctl(epoll_fd, added ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &wish);
    }
}

/// Serves a bounded number of sockets. The others stay ready for the next turn
/// and come first then.
auto curl_requests::state::serve() -> void
{
    std::array<epoll_event, config::max_events_per_turn> got{};
    auto const n =
        epoll_wait(epoll_fd, got.data(), static_cast<int>(got.size()), 0);
    for (auto k = 0; k < n; ++k)
    {
        auto const& each = got[static_cast<std::size_t>(k)];
        auto const fd = static_cast<curl_socket_t>(
            static_cast<std::uint32_t>(each.data.u64));
        auto const it = watched.find(fd);
        if (it == watched.end() || it->second != each.data.u64 >> 32U)
        {
            continue;
        }
        auto events = 0;
        events |= (each.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0;
        events |= (each.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
        events |=
            (each.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0;
        act(fd, events);
    }
}

auto curl_requests::state::act(curl_socket_t fd, int events) -> void
{
    auto running_now = 0;
    curl_multi_socket_action(multi, fd, events, &running_now);
    auto left = 0;
    while (auto const* const it = curl_multi_info_read(multi, &left))
    {
        if (it->msg == CURLMSG_DONE)
        {
            finish(it->easy_handle, it->data.result);
        }
    }
}

auto curl_requests::state::finish(CURL* handle, CURLcode how) -> void
{
    auto node = running.extract(handle);
    auto const it = std::move(node.mapped());
    long status{0};
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_multi_remove_handle(multi, handle);
    if (idle.size() < max_idle_handles)
    {
        idle.push_back(handle);
    }
    else
    {
        curl_easy_cleanup(handle);
    }
    if (how != CURLE_OK)
    {
        auto const is_late =
            how == CURLE_OPERATION_TIMEDOUT || how == CURLE_ABORTED_BY_CALLBACK;
        it->done(fail(is_late ? error_kind::backend_timeout
                              : error_kind::backend_failed,
                      curl_easy_strerror(how)));
        return;
    }
    if (it->attempts > 1 && !is_success(status))
    {
        it->done(fail(error_kind::backend_failed,
                      "status " + std::to_string(status) +
                          " answers a repetition; the first request may have "
                          "been carried out"));
        return;
    }
    it->done(http_answer{
        static_cast<http_status>(status), {}, std::move(it->answer)});
}

auto curl_requests::state::take_handle() -> CURL*
{
    if (idle.empty())
    {
        return curl_easy_init();
    }
    auto* const handle = idle.back();
    idle.pop_back();
    curl_easy_reset(handle);
    return handle;
}

curl_requests::curl_requests() : state_(std::make_unique<state>())
{
    state_->start();
    auto* const multi = state_->multi;
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, state::on_socket);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, state_.get());
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, state::on_timer);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, state_.get());
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, max_connections);
    curl_multi_setopt(multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      max_connections_per_host);
}

curl_requests::~curl_requests()
{
    for (auto const& [handle, it] : state_->running)
    {
        curl_multi_remove_handle(state_->multi, handle);
        curl_easy_cleanup(handle);
    }
    for (auto* const handle : state_->idle)
    {
        curl_easy_cleanup(handle);
    }
    curl_multi_cleanup(state_->multi);
    g_source_remove(state_->ready);
    g_source_destroy(state_->timer);
    g_source_unref(state_->timer);
    ::close(state_->epoll_fd);
}

auto curl_requests::send(outgoing_request const& it, callback done) -> void
{
    auto* const handle = state_->take_handle();
    auto made = std::make_unique<transfer>();
    made->body = it.body;
    made->done = std::move(done);
    made->deadline = boot_time() + it.timeout;
    auto const add = [&made](std::string const& line)
    { made->headers = curl_slist_append(made->headers, line.c_str()); };
    add("Content-Type: application/json");
    add("Expect:");
    for (auto const& [name, value] : it.headers)
    {
        auto line = name;
        line.append(": ").append(value);
        add(line);
    }
    curl_easy_setopt(handle, CURLOPT_URL, it.to.value().c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    // Leaves a look-up that is late to its thread, which is waited for
    // otherwise.
    curl_easy_setopt(handle, CURLOPT_QUICK_EXIT, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, made->headers);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, to_ms(it.timeout));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, take_bytes);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, made.get());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, begin_attempt);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, made.get());
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, it.repeatable ? 0L : 1L);
    if (it.method == "POST")
    {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(made->body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, made->body.data());
    }
    else if (it.method != "GET")
    {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, it.method.c_str());
    }
    state_->running.emplace(handle, std::move(made));
    curl_multi_add_handle(state_->multi, handle);
}

} // namespace apricotlb
