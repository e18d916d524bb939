/// Stand-in of a customer's backend server.
#ifndef APRICOTLB_EXAMPLES_STANDIN_BACKEND_HPP
#define APRICOTLB_EXAMPLES_STANDIN_BACKEND_HPP

#include "adapters/glib_clock.hpp"
#include "adapters/json_codec.hpp"
#include "adapters/sha256.hpp"
#include "http.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/job.hpp>

#include <charconv>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

namespace apricotlb::examples
{

/// How often a backend server misbehaves, and how slow it is.
struct backend_faults
{
    milliseconds delay{0};
    permille fail{0};   ///< answers 500
    permille close{0};  ///< closes the connection halfway
    permille silent{0}; ///< never answers
    std::uint32_t seed{1};
};

/// Longest echo that a header can ask for.
inline constexpr std::size_t max_echo = std::size_t{16} << 20U;

/// The text that an answer must have: the hash of the request's body and
/// then as many bytes as asked, repeating the hash.
inline auto expected_answer(std::string_view body, std::size_t echo)
    -> std::string
{
    auto const hash = sha256_hex(body);
    auto out = hash;
    out.reserve(hash.size() + echo);
    while (out.size() < hash.size() + echo)
    {
        out += hash.substr(0, hash.size() + echo - out.size());
    }
    return out;
}

inline auto number_in(std::string_view text) -> std::size_t
{
    std::size_t n{0};
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

/// What the backend servers of this process did.
struct backend_stats
{
    std::uint64_t requests{0};
    std::uint64_t after_leaving{0}; ///< arrived over 3 s after leaving
    std::map<std::string, std::uint64_t> runs; ///< by Idempotency-Key

    [[nodiscard]] auto to_json() const -> json_value
    {
        std::uint64_t twice{0};
        json_value::object keys;
        for (auto const& [key, n] : runs)
        {
            twice += n > 1 ? 1U : 0U;
            keys.push_back({key, n});
        }
        return json_value::object{{"requests", requests},
                                  {"after_leaving", after_leaving},
                                  {"keys", std::uint64_t{runs.size()}},
                                  {"keys_run_twice", twice},
                                  {"runs", std::move(keys)}};
    }
};

/// Announces itself, answers requests and leaves.
class standin_backend
{
public:
    standin_backend(glib_clock& clock, http_client& client, entry_list entries,
                    std::string const& token, backend_stats& stats,
                    backend_faults const& faults)
        : clock_(clock), client_(client), entries_(std::move(entries)),
          headers_{{"Authorization", "Bearer " + token}}, stats_(stats),
          faults_(faults), random_(faults.seed),
          server_([this](http_request const& it) { serve(it); })
    {
    }
    standin_backend(standin_backend const&) = delete;
    auto operator=(standin_backend const&) -> standin_backend& = delete;
    ~standin_backend() { clock_.cancel_timer(timer_); }

    /// False when the port is taken.
    auto start(backend_info info, std::uint16_t port) -> bool
    {
        info_ = std::move(info);
        info_.address = url{server_.listen(port)};
        if (info_.address.value().empty())
        {
            return false;
        }
        announce();
        return true;
    }

    [[nodiscard]] auto address() const -> url const& { return info_.address; }

    auto leave() -> void
    {
        clock_.cancel_timer(timer_);
        left_ = true;
        left_at_ = clock_.now();
        client_.send("DELETE",
                     entries_.current() + "/v1/backends/" + info_.id.value(),
                     headers_, "",
                     [this](http_reply const& it)
                     {
                         if (it.status == 0 || it.status >= 300)
                         {
                             entries_.next();
                         }
                     });
    }

private:
    auto announce() -> void
    {
        client_.send("POST", entries_.current() + "/v1/backends", headers_,
                     json_codec::encode(info_),
                     [this](http_reply const& it)
                     {
                         if (it.status == 0 || it.status >= 300)
                         {
                             entries_.next();
                         }
                     });
        timer_ = clock_.start_timer(config::announce_interval,
                                    [this] { announce(); });
    }

    auto chance(permille p) -> bool
    {
        return p > permille{0} &&
               std::uniform_int_distribution{1, 1000}(random_) <= p.value();
    }

    auto serve(http_request const& it) -> void
    {
        if (it.path == "/stats")
        {
            it.answer_json(200, print_json(stats_.to_json()));
            return;
        }
        if (it.path == "/healthz")
        {
            it.answer_json(200, "{}");
            return;
        }
        ++stats_.requests;
        // The design gives every entry process 3 s to stop using a server.
        if (left_ && clock_.now() - left_at_ > std::chrono::seconds{3})
        {
            ++stats_.after_leaving;
        }
        auto const fault = it.header("X-Fault");
        if (fault == "fail" || chance(faults_.fail))
        {
            it.answer(500, "text/plain", "failed as asked\n");
            return;
        }
        if (auto const key = it.header("Idempotency-Key"); !key.empty())
        {
            ++stats_.runs[key];
        }
        if (fault == "silent" || chance(faults_.silent))
        {
            soup_server_message_pause(it.message);
            return;
        }
        auto const echo =
            std::min(number_in(it.header("X-Echo-Bytes")), max_echo);
        auto const text = expected_answer(it.body, echo);
        if (fault == "close" || chance(faults_.close))
        {
            cut(it, text);
            return;
        }
        it.answer(200, "application/octet-stream", text);
        auto const asked = it.header("X-Delay-Ms");
        auto const delay =
            asked.empty() ? faults_.delay : milliseconds{number_in(asked)};
        if (delay > milliseconds{0})
        {
            hold(it.message, delay);
        }
    }

    /// Announces the whole answer, sends half of it and closes.
    static auto cut(http_request const& it, std::string const& text) -> void
    {
        auto* const stream = soup_server_message_steal_connection(it.message);
        auto const head = "HTTP/1.1 200 OK\r\nContent-Length: " +
                          std::to_string(text.size()) + "\r\n\r\n" +
                          text.substr(0, text.size() / 2);
        gsize written{0};
        g_output_stream_write_all(g_io_stream_get_output_stream(stream),
                                  head.data(), head.size(), &written, nullptr,
                                  nullptr);
        g_io_stream_close(stream, nullptr, nullptr);
        g_object_unref(stream);
    }

    auto hold(SoupServerMessage* message, milliseconds delay) -> void
    {
        g_object_ref(message);
        soup_server_message_pause(message);
        clock_.start_timer(delay,
                           [message]
                           {
                               soup_server_message_unpause(message);
                               g_object_unref(message);
                           });
    }

    glib_clock& clock_;
    http_client& client_;
    entry_list entries_;
    header_list headers_;
    backend_stats& stats_;
    backend_faults faults_;
    std::mt19937 random_;
    http_server server_;
    backend_info info_;
    timer_id timer_;
    bool left_{false};
    time_point left_at_{};
};

} // namespace apricotlb::examples

#endif
