/// Loads settings from a file at the start and reloads them at run time.
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

/// Reads a settings file and validates it for a role. Fails also if the
/// key_file of the settings cannot be read.
[[nodiscard]] auto load_settings(file_path const& path, process_role role)
    -> result<settings>;

/// Reloads the settings on request and whenever the text of the file has
/// changed, which is checked every config::settings_check_interval. The handler
/// receives the new settings, or an error if they are invalid; it must keep the
/// current settings then.
template <clock_port Clock>
class settings_watch
{
public:
    using handler = std::function<void(result<settings>)>;

    settings_watch(Clock& clock, file_path path, process_role role,
                   handler on_reload)
        : clock_(clock), path_(std::move(path)), role_(role),
          on_reload_(std::move(on_reload)), last_text_(read_text())
    {
        start_check_timer();
    }
    settings_watch(settings_watch const&) = delete;
    auto operator=(settings_watch const&) -> settings_watch& = delete;
    ~settings_watch() { clock_.cancel_timer(timer_); }

    auto reload() -> void
    {
        last_text_ = read_text();
        on_reload_(load_settings(path_, role_));
    }

private:
    auto start_check_timer() -> void
    {
        timer_ = clock_.start_timer(config::settings_check_interval,
                                    [this]
                                    {
                                        start_check_timer();
                                        if (read_text() != last_text_)
                                        {
                                            reload();
                                        }
                                    });
    }

    [[nodiscard]] auto read_text() const -> std::string;

    Clock& clock_;
    file_path path_;
    process_role role_;
    handler on_reload_;
    std::string last_text_;
    timer_id timer_;
};

/// Text of a settings file, or an empty string if it cannot be read.
[[nodiscard]] auto settings_text(file_path const& path) -> std::string;

template <clock_port Clock>
auto settings_watch<Clock>::read_text() const -> std::string
{
    return settings_text(path_);
}

} // namespace apricotlb

#endif
