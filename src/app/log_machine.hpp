/// The state machine behind the replicated log: decodes and applies commands.
#ifndef APRICOTLB_APP_LOG_MACHINE_HPP
#define APRICOTLB_APP_LOG_MACHINE_HPP

#include "core/state/state_machine.hpp"
#include "ports/codec.hpp"
#include "ports/state_machine.hpp"

#include <apricotlb/ids.hpp>
#include <apricotlb/result.hpp>

#include <functional>
#include <string_view>
#include <utility>

namespace apricotlb
{

/// Applies encoded commands and notifies a listener of each decoded command
/// and its result. The state has a codec of its own, Snapshots, because it may
/// be far larger than a message.
template <class Codec, class Snapshots>
class log_machine
{
public:
    using listener = std::function<void(command const&, apply_result const&)>;

    auto apply(term /*in_term*/, log_index index, std::string_view bytes)
        -> void
    {
        auto const it = Codec::template decode<command>(bytes);
        if (it.has_error())
        {
            // Decoding is deterministic, so all replicas refuse the command.
            last_result_ =
                apply_result::refuse(it.error().kind, it.error().detail);
            return;
        }
        last_result_ = state_.apply(it.value(), index);
        if (listener_)
        {
            listener_(it.value(), last_result_);
        }
    }

    [[nodiscard]] auto snapshot() const -> encoded
    {
        return Snapshots::encode(state_.snapshot());
    }

    auto restore(encoded const& bytes) -> result<void>
    {
        BOOST_OUTCOME_TRY(it,
                          Snapshots::template decode<state_snapshot>(bytes));
        state_ = state_machine{std::move(it)};
        if (on_restored_)
        {
            on_restored_();
        }
        return outcome::success();
    }

    /// Result of the last applied command.
    [[nodiscard]] auto last_result() const -> apply_result const&
    {
        return last_result_;
    }
    [[nodiscard]] auto state() const -> state_machine const& { return state_; }

    auto on_applied(listener callback) -> void
    {
        listener_ = std::move(callback);
    }
    /// Called when a snapshot has taken the place of the state.
    auto on_restored(std::function<void()> callback) -> void
    {
        on_restored_ = std::move(callback);
    }

private:
    state_machine state_;
    apply_result last_result_;
    listener listener_;
    std::function<void()> on_restored_;
};

} // namespace apricotlb

#endif
