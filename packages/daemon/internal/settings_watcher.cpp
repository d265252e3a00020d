#include "daemon/settings_watcher.h"

#include <spdlog/spdlog.h>

#include <fstream>
#include <sstream>
#include <utility>
#include <variant>

namespace kingcupcart::daemon {

settings_watcher::settings_watcher(std::string path, change_callback on_change)
    : path(std::move(path)),
      on_change(std::move(on_change)),
      last_text(this->read_text()),
      timer([this] { this->check_file(); }) {
    this->timer.arm(std::chrono::steady_clock::now() + poll_interval);
}

std::string settings_watcher::read_text() const {
    const std::ifstream file(this->path, std::ios::binary);
    std::ostringstream content;
    if (file) {
        content << file.rdbuf();
    }
    return content.str();
}

void settings_watcher::check_file() {
    std::string current_text = this->read_text();
    // The file may be empty for a moment while it is replaced.
    if (!current_text.empty() && current_text != this->last_text) {
        this->reload();
    }
    this->timer.arm(std::chrono::steady_clock::now() + poll_interval);
}

void settings_watcher::reload() {
    this->last_text = this->read_text();
    const auto loaded =
        value_or_error([&] { return settings::process_settings::load(this->path); });
    if (const auto* problem = std::get_if<error>(&loaded)) {
        spdlog::error("settings not reloaded, keeping the current settings error=\"{}\"",
                      problem->message);
        return;
    }
    spdlog::info("settings reloaded file={}", this->path);
    this->on_change(std::get<settings::process_settings>(loaded));
}

} // namespace kingcupcart::daemon
