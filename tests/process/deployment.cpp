#include "process/deployment.h"

#include "task/wakeup.h"
#include "wire/listener.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

namespace kingcupcart::process_tests {

namespace {

constexpr duration max_wait = std::chrono::seconds(30);
constexpr duration poll_interval = std::chrono::milliseconds(10);
/// Pause between two requests for an instance's status.
constexpr duration status_interval = std::chrono::milliseconds(50);

struct port_range {
    std::uint16_t first;
    std::uint16_t count;
};

/// Below the kernel's range of ephemeral ports: an outgoing connection would take a port of that
/// range between the check of an address and the start of the process that is to listen on it.
constexpr port_range all_ports{20000, 12000};
/// Ports of each test program that runs beside others.
constexpr std::uint16_t ports_per_slot = 1000;

/// The ports of this program's slot, so that programs side by side choose different ones.
port_range own_port_range() {
    const char* slot = std::getenv("KINGCUPCART_PORT_SLOT");
    if (slot == nullptr) {
        return all_ports;
    }
    const int slots = all_ports.count / ports_per_slot;
    return {static_cast<std::uint16_t>(all_ports.first + std::atoi(slot) % slots * ports_per_slot),
            ports_per_slot};
}

} // namespace

std::string client_call::header(const std::string& name) const {
    for (const header_field& field : this->head.headers) {
        if (field.name == name) {
            return field.value;
        }
    }
    return "";
}

deployment::deployment() {
    this->loop.enter();
    std::string pattern = (std::filesystem::temp_directory_path() / "kingcupcart-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    this->client = std::make_unique<http::client>(this->time);
}

deployment::~deployment() {
    this->processes.clear();
    this->client.reset();
    this->loop.leave();
    if (!this->keeps_folder) {
        std::filesystem::remove_all(this->folder);
    }
}

std::string deployment::write_settings(const std::string& name, const std::string& text) {
    const std::string path = this->folder + "/" + name + ".ini";
    std::ofstream(path) << text;
    return path;
}

child_process& deployment::add_keeper() {
    const std::string id = "k" + std::to_string(++this->keeper_count);
    const std::string path = this->write_settings(
        id, "[instance]\nid = " + id +
                "\nfailure-domain = local\nregion = local\nroles = keeper\nadmin = 127.0.0.1:0\n"
                "[keeper]\naddress = 127.0.0.1:0\ndata = " +
                this->folder + "/" + id + "\n[log]\nlevel = warn\n");
    this->processes.push_back(std::make_unique<child_process>(
        std::vector<std::string>{KINGCUPCARTD, "--settings", path}));
    this->keeper_addresses.push_back(this->processes.back()->value("keeper"));
    return *this->processes.back();
}

std::string free_address() {
    static const port_range ports = own_port_range();
    static std::uint16_t offset = static_cast<std::uint16_t>(std::random_device()() % ports.count);
    while (true) {
        offset = static_cast<std::uint16_t>((offset + 1) % ports.count);
        const endpoint candidate{"127.0.0.1", static_cast<std::uint16_t>(ports.first + offset)};
        const auto opened = value_or_error(
            [&] { return wire::listener::open(candidate, [](GSocketConnection*) {}); });
        if (std::holds_alternative<std::unique_ptr<wire::listener>>(opened)) {
            return candidate.to_string();
        }
    }
}

child_process& deployment::add_process(const std::string& name, const std::string& settings,
                                       rlim_t max_file_size,
                                       const std::vector<std::string>& environment) {
    this->processes.push_back(std::make_unique<child_process>(
        std::vector<std::string>{KINGCUPCARTD, "--settings", this->write_settings(name, settings)},
        "", max_file_size, environment));
    return *this->processes.back();
}

std::string deployment::path_of(const std::string& name) const {
    return this->folder + "/" + name;
}

std::vector<child_process*> deployment::add_three_keepers() {
    constexpr int count = 3;
    std::string members;
    for (int i = 1; i <= count; ++i) {
        this->keeper_addresses.push_back(free_address());
        members += (i == 1 ? "k" : ", k") + std::to_string(i) + "@" + this->keeper_addresses.back();
    }
    std::vector<child_process*> keepers;
    for (int i = 1; i <= count; ++i) {
        const std::string id = "k" + std::to_string(i);
        const std::string path = this->write_settings(
            id, "[instance]\nid = " + id +
                    "\nfailure-domain = local\nregion = local\nroles = keeper\n"
                    "admin = 127.0.0.1:0\nstop-grace = 0s\n[keeper]\naddress = " +
                    this->keeper_addresses[static_cast<std::size_t>(i) - 1] +
                    "\ndata = " + this->folder + "/" + id + "\nmembers = " + members +
                    "\n[log]\nlevel = error\n");
        std::vector<std::string> command{KINGCUPCARTD, "--settings", path};
        if (i == 1) {
            command.push_back("--found");
        }
        this->processes.push_back(std::make_unique<child_process>(command));
        keepers.push_back(this->processes.back().get());
    }
    return keepers;
}

child_process& deployment::restart_keeper(const std::string& id, bool is_disk_lost) {
    if (is_disk_lost) {
        std::filesystem::remove_all(this->folder + "/" + id);
    }
    this->processes.push_back(std::make_unique<child_process>(
        std::vector<std::string>{KINGCUPCARTD, "--settings", this->folder + "/" + id + ".ini"}));
    return *this->processes.back();
}

nlohmann::json deployment::keeper_status(child_process& keeper) {
    const auto status = nlohmann::json::parse(this->status(keeper), nullptr, false);
    return status.is_object() && status.contains("keeper") ? status["keeper"] : nlohmann::json();
}

child_process& deployment::add_entry(const std::string& domain) {
    const std::string id = "e" + std::to_string(++this->entry_count);
    std::string keepers;
    for (const std::string& address : this->keeper_addresses) {
        keepers += (keepers.empty() ? "" : ", ") + address;
    }
    std::string text = "[instance]\nid = " + id + "\nfailure-domain = " + domain +
                       "\nregion = local\nroles = entry\nadmin = 127.0.0.1:0\nstop-grace = 0s\n"
                       "[entry]\ncallers = 127.0.0.1:0\naddress = 127.0.0.1:0\n";
    text += keepers.empty() ? "" : "keepers = " + keepers + "\n";
    text += this->entry_address.empty() ? "" : "peers = " + this->entry_address + "\n";
    text += "target-lease = 1500ms\n[log]\nlevel = error\n";
    this->processes.push_back(std::make_unique<child_process>(
        std::vector<std::string>{KINGCUPCARTD, "--settings", this->write_settings(id, text)}));
    if (this->entry_address.empty()) {
        this->entry_address = this->processes.back()->value("entry");
    }
    return *this->processes.back();
}

child_process& deployment::add_engine(const std::string& id, child_process& entry,
                                      const std::vector<std::string>& extra_arguments) {
    std::vector<std::string> command{STAND_IN_ENGINE, "--id", id, "--entry",
                                     entry.value("callers")};
    command.insert(command.end(), extra_arguments.begin(), extra_arguments.end());
    this->processes.push_back(std::make_unique<child_process>(command));
    return *this->processes.back();
}

child_process& deployment::add_service(const std::string& id, child_process& entry,
                                       const std::vector<std::string>& extra_arguments) {
    std::vector<std::string> command{
        STAND_IN_SERVICE, "--id", id, "--backend", "provbok", "--entry", entry.value("callers")};
    command.insert(command.end(), extra_arguments.begin(), extra_arguments.end());
    this->processes.push_back(std::make_unique<child_process>(command));
    return *this->processes.back();
}

std::unique_ptr<client_call> deployment::begin(const http::request& request) {
    auto started = std::make_unique<client_call>();
    client_call* call = started.get();
    started->call = this->client->start(
        request, {[] {}, [call](const http::response_head& head) { call->head = head; },
                  [call](std::string_view data) { call->body += data; },
                  [call](http::call_result result, const std::string&) {
                      call->is_completed = true;
                      call->completed_at = std::chrono::steady_clock::now();
                      call->result = result;
                  }});
    return started;
}

std::unique_ptr<client_call> deployment::call(const http::request& request) {
    auto started = this->begin(request);
    this->run_until([&] { return started->is_completed; });
    return started;
}

void deployment::wait(duration time) {
    const auto end = std::chrono::steady_clock::now() + time;
    this->run_until([&] { return std::chrono::steady_clock::now() >= end; });
}

void deployment::run_once() {
    g_main_context_iteration(this->loop.context(), TRUE);
}

bool deployment::run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    // Armed in its callback only: elsewhere, that would wake the loop at once.
    task::wakeup poll_timer(
        [&] { poll_timer.arm(std::chrono::steady_clock::now() + poll_interval); });
    poll_timer.arm_now();
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        g_main_context_iteration(this->loop.context(), TRUE);
    }
    return true;
}

std::string deployment::status(child_process& instance) {
    http::request request;
    request.url = "http://" + instance.value("admin") + "/status";
    return this->call(request)->body;
}

bool deployment::wait_for_targets(child_process& instance, std::size_t count) {
    return this->run_until([&] {
        const auto status = nlohmann::json::parse(this->status(instance), nullptr, false);
        const bool has_targets = status.is_object() && status["entry"]["targets"].size() == count;
        if (!has_targets) {
            this->wait(status_interval);
        }
        return has_targets;
    });
}

http::request post(child_process& instance, const std::string& path, const std::string& body,
                   const std::vector<header_field>& headers) {
    http::request request;
    request.method = "POST";
    request.url = "http://" + instance.value("callers") + path;
    request.content_type = "application/json";
    request.headers = headers;
    request.body = body;
    return request;
}

} // namespace kingcupcart::process_tests
