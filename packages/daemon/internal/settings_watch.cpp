#include "daemon/settings_watch.h"

#include <spdlog/spdlog.h>

#include <fstream>
#include <sstream>
#include <utility>
#include <variant>

namespace kingcupcart::daemon {

settings_watch::settings_watch(std::string path, told changed)
    : path(std::move(path)),
      changed(std::move(changed)),
      text(this->read_text()),
      timer([this] { this->look(); }) {
    this->timer.arm(std::chrono::steady_clock::now() + interval);
}

std::string settings_watch::read_text() const {
    const std::ifstream file(this->path, std::ios::binary);
    std::ostringstream content;
    if (file) {
        content << file.rdbuf();
    }
    return content.str();
}

void settings_watch::look() {
    std::string now = this->read_text();
    // Empty for a moment while it is being replaced.
    if (!now.empty() && now != this->text) {
        this->reload();
    }
    this->timer.arm(std::chrono::steady_clock::now() + interval);
}

void settings_watch::reload() {
    this->text = this->read_text();
    const auto loaded =
        value_or_error([&] { return settings::process_settings::load(this->path); });
    if (const auto* problem = std::get_if<error>(&loaded)) {
        spdlog::error("settings not reloaded, the old ones stay error=\"{}\"", problem->message);
        return;
    }
    spdlog::info("settings reloaded file={}", this->path);
    this->changed(std::get<settings::process_settings>(loaded));
}

} // namespace kingcupcart::daemon
