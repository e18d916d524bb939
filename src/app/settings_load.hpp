/// Settings from a file: at the start, and again while the process runs.
#ifndef APRICOTLB_APP_SETTINGS_LOAD_HPP
#define APRICOTLB_APP_SETTINGS_LOAD_HPP

#include "app/settings.hpp"
#include "app/settings_check.hpp"
#include "ports/clock.hpp"

#include <apricotlb/config.hpp>
#include <apricotlb/result.hpp>

#include <functional>
#include <string>
#include <utility>

namespace apricotlb
{

/// Settings of a file, checked for a role.
[[nodiscard]] auto load_settings(file_path const& path, process_role role)
    -> result<settings>;

/// Reads the settings again on request and whenever the file has changed. Bad
/// settings are reported and the ones in use stay.
template <clock_port Clock>
class settings_watch
{
public:
    using handler = std::function<void(result<settings>)>;

    settings_watch(Clock& clock, file_path path, process_role role, handler run)
        : clock_(clock), path_(std::move(path)), role_(role),
          run_(std::move(run)), text_(read_text())
    {
        arm();
    }
    settings_watch(settings_watch const&) = delete;
    auto operator=(settings_watch const&) -> settings_watch& = delete;
    ~settings_watch() { clock_.cancel_timer(timer_); }

    auto reload() -> void
    {
        text_ = read_text();
        run_(load_settings(path_, role_));
    }

private:
    auto arm() -> void
    {
        timer_ = clock_.start_timer(config::settings_check_interval,
                                    [this]
                                    {
                                        arm();
                                        if (read_text() != text_)
                                        {
                                            reload();
                                        }
                                    });
    }

    [[nodiscard]] auto read_text() const -> std::string;

    Clock& clock_;
    file_path path_;
    process_role role_;
    handler run_;
    std::string text_;
    timer_id timer_;
};

/// Text of a settings file, empty if it cannot be read.
[[nodiscard]] auto settings_text(file_path const& path) -> std::string;

template <clock_port Clock>
auto settings_watch<Clock>::read_text() const -> std::string
{
    return settings_text(path_);
}

} // namespace apricotlb

#endif
