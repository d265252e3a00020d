#pragma once

#include "base/clock.h"
#include "settings/process_settings.h"
#include "task/wakeup.h"

#include <functional>
#include <string>

namespace kingcupcart::daemon {

/// Reads the settings file again when it has changed, also where nobody says so, on the loop of the
/// thread that made it. A file that can't be read or is wrong changes nothing; the log says why.
class settings_watch {
public:
    using told = std::function<void(const settings::process_settings&)>;

    settings_watch(std::string path, told changed);

    /// Reads the file now, changed or not.
    void reload();

    /// How often the file is looked at: users expect other settings to be followed within seconds.
    static constexpr duration interval = std::chrono::seconds(1);

private:
    void look();
    /// The file's text; empty where it can't be read.
    [[nodiscard]] std::string read_text() const;

    std::string path;
    told changed;
    std::string text;
    task::wakeup timer;
};

} // namespace kingcupcart::daemon
