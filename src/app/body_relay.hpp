/// Forwards a caller's request body to a backend server.
#ifndef APRICOTLB_APP_BODY_RELAY_HPP
#define APRICOTLB_APP_BODY_RELAY_HPP

#include <apricotlb/config.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// Forwards one body with bounded memory: reading from the caller pauses while
/// config::body_buffer_bytes are waiting to be sent. A body of at most
/// config::replay_body_bytes stays buffered so that another attempt can send it
/// again.
template <class Exchange, class Call>
class body_relay
{
public:
    explicit body_relay(Exchange caller) : caller_(std::move(caller)) {}

    /// Forwards a chunk from the caller, or buffers it while there is no call.
    auto take(std::string_view bytes) -> void
    {
        received_bytes_ += bytes.size();
        if (replayable_)
        {
            buffered_.append(bytes);
        }
        if (call_)
        {
            call_->write(bytes);
            drop_long_body();
        }
        auto const pending_bytes = call_ ? call_->unsent() : buffered_.size();
        if (pending_bytes >= config::body_buffer_bytes)
        {
            caller_->pause_body();
        }
    }

    auto take_end() -> void
    {
        has_ended_ = true;
        if (call_)
        {
            call_->end_body();
        }
    }

    /// Sends the body received so far, and all later chunks, to a call.
    auto attach(Call call) -> void
    {
        call_ = std::move(call);
        if (!buffered_.empty())
        {
            call_->write(buffered_);
        }
        if (has_ended_)
        {
            call_->end_body();
        }
        resume_if_writable();
    }

    auto detach() -> void { call_ = {}; }

    /// Resumes reading from the caller if the call's buffer has free space.
    auto resume_if_writable() -> void
    {
        if (call_ && call_->unsent() < config::body_buffer_bytes)
        {
            caller_->resume_body();
        }
    }

    /// Upper bound of the body bytes sent to backend servers. Without a call,
    /// all received bytes count.
    [[nodiscard]] auto sent_bytes() const -> std::size_t
    {
        return call_ ? received_bytes_ - call_->unsent() : received_bytes_;
    }
    [[nodiscard]] auto is_replayable() const -> bool { return replayable_; }

private:
    auto drop_long_body() -> void
    {
        if (replayable_ && received_bytes_ > config::replay_body_bytes)
        {
            replayable_ = false;
            std::string{}.swap(buffered_);
        }
    }

    Exchange caller_;
    Call call_{};
    std::string buffered_; ///< the body received so far, while replayable
    std::size_t received_bytes_{0};
    bool replayable_{true};
    bool has_ended_{false};
};

} // namespace apricotlb

#endif
