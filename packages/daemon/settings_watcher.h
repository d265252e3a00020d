#pragma once

#include "base/clock.h"
#include "settings/process_settings.h"
#include "task/wakeup.h"

#include <functional>
#include <string>

namespace kingcupcart::daemon {

/// Polls the settings file, without waiting for a signal, and reloads it when it has changed. Runs
/// on the event loop of the thread that creates it. If the file can't be read or is invalid, the
/// settings in use stay, and the reason is logged.
class settings_watcher {
public:
    using change_callback = std::function<void(const settings::process_settings&)>;

    settings_watcher(std::string path, change_callback on_change);

    /// Reads the file at once, whether it has changed or not.
    void reload();

    /// Users expect changed settings to be applied within seconds.
    static constexpr duration poll_interval = std::chrono::seconds(1);

private:
    void check_file();
    /// The file's text; empty if it can't be read.
    [[nodiscard]] std::string read_text() const;

    std::string path;
    change_callback on_change;
    std::string last_text;
    task::wakeup timer;
};

} // namespace kingcupcart::daemon
