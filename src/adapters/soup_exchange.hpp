/// Exchange port over one message of libsoup's server.
#ifndef APRICOTLB_ADAPTERS_SOUP_EXCHANGE_HPP
#define APRICOTLB_ADAPTERS_SOUP_EXCHANGE_HPP

#include "core/entry/http.hpp"
#include "ports/http.hpp"

#include <apricotlb/time.hpp>

#include <libsoup/soup.h>

#include <cstddef>
#include <memory>
#include <string_view>

namespace apricotlb
{

/// One request and its answer; the server keeps it until libsoup is done.
class soup_exchange
{
public:
    explicit soup_exchange(SoupServerMessage* message);
    soup_exchange(soup_exchange const&) = delete;
    auto operator=(soup_exchange const&) -> soup_exchange& = delete;
    ~soup_exchange();

    [[nodiscard]] auto head() const -> request_head const& { return head_; }
    auto listen(exchange_events events) -> void;
    auto pause_body() -> void;
    auto resume_body() -> void;
    auto start(answer_head head) -> void;
    auto write(std::string_view bytes) -> void;
    auto end() -> void;
    auto abort() -> void;
    [[nodiscard]] auto unwritten() const -> std::size_t { return unwritten_; }

    // For the server.
    auto take_chunk(std::string_view bytes, time_point now) -> void;
    auto take_body_end() -> void;
    auto take_written(std::size_t n) -> void;
    auto take_finished() -> void;
    /// Asks the caller to open a new connection for its next request.
    auto close_after() -> void { close_after_ = true; }
    /// Notices a caller that left or is too slow.
    auto sweep(time_point now) -> void;
    [[nodiscard]] auto is_over_limit(byte_count limit) const -> bool
    {
        return received_ > limit;
    }
    [[nodiscard]] auto is_gone() const -> bool { return gone_; }
    [[nodiscard]] auto is_started() const -> bool { return started_; }

private:
    auto wake() -> void;

    SoupServerMessage* message_;
    request_head head_;
    exchange_events events_;
    byte_count received_{};
    std::size_t unwritten_{0};
    time_point last_chunk_;
    time_point started_at_;
    bool body_done_{false};
    bool body_paused_{false};
    bool waiting_{false}; ///< the body is read, the answer has not started
    bool started_{false};
    bool ended_{false};
    bool gone_{false};
    bool close_after_{false};
    bool no_body_{false}; ///< the answer may not carry a body
};

static_assert(exchange_port<soup_exchange>);

/// The whole answer in one step.
auto reply(soup_exchange& to, http_answer const& it) -> void;

} // namespace apricotlb

#endif
