/// Proxy between two processes on loopback, which does harm to what passes.
#ifndef APRICOTLB_SOAK_PROXY_HPP
#define APRICOTLB_SOAK_PROXY_HPP

#include "soak/http.hpp"

#include <apricotlb/time.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace apricotlb::soak
{

/// What a proxy does to the bytes that pass.
struct link_harm
{
    duration delay{};
    /// Share of the packets that are lost, below 1.
    double loss{0};
    /// Bytes are held and arrive late, unless the connection ends before.
    bool holds_requests{false};
    bool holds_answers{false};
    /// What the target announces of itself is held too; it does so elsewhere.
    bool holds_announcements{false};
    std::uint64_t seed{0}; ///< of the losses
};

/// One direction of a connection. Bytes behind a lost packet wait until it has
/// arrived, as with TCP; none are lost or overtaken.
class lane
{
public:
    /// The first retransmission of TCP; each further one takes twice as long.
    static constexpr auto retransmission = std::chrono::milliseconds{200};
    static constexpr auto last_retransmission = std::chrono::milliseconds{800};

    /// Takes bytes in, and returns the time after which take() is due.
    auto add(std::string_view bytes, time_point now, link_harm const& harm,
             std::mt19937_64& random) -> duration
    {
        auto arrival = now + harm.delay;
        // What comes behind a lost packet leaves with its retransmission.
        std::bernoulli_distribution is_lost{free_at_ > now ? 0 : harm.loss};
        for (duration wait = retransmission;
             wait <= last_retransmission && is_lost(random); wait *= 2)
        {
            arrival += wait;
        }
        free_at_ = std::max(free_at_, arrival);
        under_way_.emplace_back(bytes);
        return free_at_ - now;
    }
    /// The bytes that were taken in first; none if they were dropped since.
    auto take() -> std::string
    {
        if (under_way_.empty())
        {
            return {};
        }
        auto out = std::move(under_way_.front());
        under_way_.pop_front();
        return out;
    }
    /// When all that is under way has arrived.
    [[nodiscard]] auto free_at() const -> time_point { return free_at_; }

private:
    std::deque<std::string> under_way_;
    time_point free_at_{};
};

/// Passes bytes on in order.
class proxy
{
public:
    proxy(glib_clock& clock, std::string listen_at, std::string target)
        : clock_(clock), listen_at_(std::move(listen_at)),
          target_(std::move(target)), listener_([this](int fd) { accept(fd); })
    {
    }
    proxy(proxy const&) = delete;
    auto operator=(proxy const&) -> proxy& = delete;
    ~proxy();

    [[nodiscard]] auto open() -> bool { return listener_.open(listen_at_); }
    [[nodiscard]] auto address() const -> auto const& { return listen_at_; }

    auto set_harm(link_harm const& it) -> void;
    [[nodiscard]] auto harm() const -> auto const& { return harm_; }
    auto reset_connections() -> void;
    /// The target is gone. Its answers under way are lost, and what is sent to
    /// it waits. By seed, connections with a call that it has received are
    /// reset, or stay without an answer.
    auto lose_target(std::uint64_t seed) -> void;
    /// Another process listens at the address of the target. It gets the
    /// requests that the former one has not received, as with a retransmission
    /// by TCP: at once, or up to a second later. By seed, connections are reset
    /// instead.
    auto regain_target(std::uint64_t seed) -> void;

    /// Called with each request when its caller has sent it, and the address of
    /// the caller's end of the connection.
    std::function<void(http_text const&, std::string const&)> on_request;

private:
    struct pipe
    {
        std::unique_ptr<stream> caller;
        std::unique_ptr<stream> server; ///< null: the target is lost
        bool is_unanswered{false};      ///< bytes of a request were passed on
        std::string peer;
        lane requests;
        lane answers;
        std::string held_requests;
        std::string held_answers;
        message_reader reader;
    };

    auto accept(int fd) -> void;
    auto connect(std::uint64_t id) -> void;
    auto release(pipe& it) -> void;
    auto pass(std::uint64_t id, bool is_request, std::string_view bytes)
        -> void;
    auto move_on(std::uint64_t id, bool is_request) -> void;
    auto note(std::uint64_t id, std::string_view bytes) -> void;
    auto end(std::uint64_t id, bool is_caller) -> void;
    auto reset(std::map<std::uint64_t, pipe>::iterator it) -> void;

    glib_clock& clock_;
    std::string listen_at_;
    std::string target_;
    listener listener_;
    std::map<std::uint64_t, pipe> pipes_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
    std::uint64_t last_id_{0};
    bool is_target_lost_{false};
    link_harm harm_;
    std::mt19937_64 random_;
};

} // namespace apricotlb::soak

#endif
