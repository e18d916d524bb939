/// Proxy between two processes on loopback, which does harm to what passes.
#ifndef APRICOTLB_SOAK_PROXY_HPP
#define APRICOTLB_SOAK_PROXY_HPP

#include "soak/http.hpp"

#include <apricotlb/time.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace apricotlb::soak
{

/// Passes bytes on in order. While it is silent in a direction, bytes are held
/// and arrive late, unless the connection ends before.
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
    [[nodiscard]] auto address() const -> std::string const&
    {
        return listen_at_;
    }

    auto set_delay(duration it) -> void { delay_ = it; }
    auto set_silent(bool requests, bool answers) -> void;
    auto reset_connections() -> void;

    /// Called with each request when its caller has sent it, and the address of
    /// the caller's end of the connection.
    std::function<void(http_text const&, std::string const&)> on_request;

private:
    struct pipe
    {
        std::unique_ptr<stream> caller;
        std::unique_ptr<stream> server;
        std::string peer;
        std::string held_requests;
        std::string held_answers;
        message_reader requests;
    };

    auto accept(int fd) -> void;
    auto pass(std::uint64_t id, bool is_request, std::string bytes) -> void;
    auto release(std::uint64_t id) -> void;
    auto note(std::uint64_t id, std::string_view bytes) -> void;
    auto end(std::uint64_t id) -> void;

    glib_clock& clock_;
    std::string listen_at_;
    std::string target_;
    listener listener_;
    std::map<std::uint64_t, pipe> pipes_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
    std::uint64_t last_id_{0};
    duration delay_{};
    bool holds_requests_{false};
    bool holds_answers_{false};
};

} // namespace apricotlb::soak

#endif
