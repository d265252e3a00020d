#include "soak/soak_fleet.h"

#include "process/limit_check.h"

#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>
#include <variant>

namespace kingcupcart::soak {

namespace {

constexpr duration heartbeat_interval = std::chrono::milliseconds(300);
constexpr duration event_interval = std::chrono::milliseconds(25);
constexpr int engine_slots = 4;
constexpr std::size_t service_count = 2;
constexpr std::size_t engine_count = 4;
constexpr std::size_t chat_count = 6;

const char* name_of(soak_fleet::role instance_role) {
    switch (instance_role) {
    case soak_fleet::role::keeper:
        return "keeper";
    case soak_fleet::role::store:
        return "store";
    case soak_fleet::role::gateway:
        return "gateway";
    }
    return "?";
}

std::string port_of(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
}

} // namespace

soak_fleet::soak_fleet(process_tests::deployment& test_deployment, bool has_cut_gateways)
    : test_deployment(test_deployment),
      link_port(port_of(process_tests::free_address())),
      external_port(port_of(process_tests::free_address())),
      relay_port(port_of(process_tests::free_address())),
      heartbeat_timer([this] { this->send_heartbeats(); }) {
    for (const role instance_role : {role::keeper, role::store, role::gateway}) {
        for (std::size_t i = 1; i <= instances_per_role; ++i) {
            fleet_instance instance;
            instance.instance_role = instance_role;
            instance.id = name_of(instance_role) + std::to_string(i);
            instance.ip =
                "127.0.1." + std::to_string(static_cast<std::size_t>(instance_role) * 10 + i);
            if (has_cut_gateways && instance_role == role::gateway) {
                instance.paths = std::make_unique<process_tests::replica_paths>(
                    test_deployment.path_of(instance.id + "-routes"));
            }
            this->instances.push_back(std::move(instance));
        }
    }
    for (fleet_instance& instance : this->instances) {
        this->launch(instance, true);
    }
    this->add_replicas(this->service_replicas, "app", "", service_count);
    this->add_replicas(this->engine_replicas, "lm", "m", engine_count);
    for (std::size_t i = 1; i <= chat_count; ++i) {
        stand_ins::platform_replica::parameters arguments;
        arguments.id = "chat" + std::to_string(i);
        arguments.service = "chat";
        arguments.model = "chat";
        arguments.software = i % 2 == 0 ? "v1" : "v2";
        arguments.events_state_software = true;
        this->add_replica(this->chat_replicas, std::move(arguments));
    }
    this->send_heartbeats();
}

void soak_fleet::add_replicas(std::vector<replica>& replicas, const std::string& service,
                              const std::string& model, std::size_t count) {
    for (std::size_t i = 1; i <= count; ++i) {
        stand_ins::platform_replica::parameters arguments;
        arguments.id = service + std::to_string(i);
        arguments.service = service;
        arguments.model = model;
        this->add_replica(replicas, std::move(arguments));
    }
}

void soak_fleet::add_replica(std::vector<replica>& replicas,
                             stand_ins::platform_replica::parameters arguments) {
    arguments.address = endpoint{"127.0.1.40", 0};
    arguments.events = engine_events;
    arguments.slots = engine_slots;
    arguments.event_interval = event_interval;
    auto opened = value_or_error([&] { return stand_ins::platform_replica::open(arguments); });
    replica added;
    added.stand_in = std::move(std::get<std::unique_ptr<stand_ins::platform_replica>>(opened));
    auto opened_proxy = value_or_error([&] {
        return process_tests::loopback_proxy::open(endpoint{"127.0.1.41", 0},
                                                   added.stand_in->address());
    });
    added.proxy = std::move(std::get<std::unique_ptr<process_tests::loopback_proxy>>(opened_proxy));
    added.stand_in->advertise(added.proxy->address());
    for (const fleet_instance& instance : this->instances) {
        if (instance.paths) {
            instance.paths->add(added.proxy->address());
        }
    }
    replicas.push_back(std::move(added));
}

std::string soak_fleet::instance_settings(const fleet_instance& instance,
                                          bool is_first_start) const {
    const std::string role = name_of(instance.instance_role);
    std::string settings = "[instance]\nid = " + instance.id +
                           "\nfailure-domain = local\nregion = local\nadmin = 127.0.0.1:0\n"
                           "stop-grace = 1s\nroles = " +
                           role + "\n[log]\nlevel = info\n[" + role +
                           "]\nlink-port = " + this->link_port + "\nseeds = ";
    for (std::size_t i = 0; i < instances_per_role; ++i) {
        settings += (i == 0 ? "" : ", ") + this->instances[i].ip + ":" + this->external_port;
    }
    settings += "\n";
    const std::string link_address = instance.ip + ":" + this->link_port;
    const std::string external_address = instance.ip + ":" + this->external_port;
    if (instance.instance_role == role::gateway) {
        return settings + "callers = " + external_address + "\nready = " + link_address +
               "\naddress = " + instance.ip + ":" + this->relay_port + "\n";
    }
    settings += "address = " + link_address +
                "\ndata = " + this->test_deployment.path_of(instance.id + "-data") +
                "\ntolerated-losses = 1\nfirst-start = " + (is_first_start ? "true" : "false") +
                "\n";
    if (instance.instance_role == role::store) {
        // Most runs are carried out by stores that do not lead, so that faults meet this path too.
        settings += "local-runs = 1\n";
    }
    if (instance.instance_role == role::keeper) {
        settings += "control = " + external_address + "\norder-lease = 500ms\n";
    }
    return settings;
}

void soak_fleet::launch(fleet_instance& instance, bool is_first_start) {
    const std::string settings_path = this->test_deployment.path_of(instance.id + ".ini");
    std::ofstream(settings_path) << this->instance_settings(instance, is_first_start);
    instance.process = std::make_unique<process_tests::child_process>(
        std::vector<std::string>{KINGCUPCARTD, "--settings", settings_path},
        this->test_deployment.path_of(instance.id + ".log"), RLIM_INFINITY,
        instance.paths ? instance.paths->environment() : std::vector<std::string>());
    instance.is_paused = false;
    instance.is_stopping = false;
}

void soak_fleet::start(fleet_instance& instance) {
    if (!instance.process) {
        this->launch(instance, false);
    }
}

void soak_fleet::kill(fleet_instance& instance, bool is_disk_lost) {
    if (instance.process) {
        instance.process->signal(SIGKILL);
        instance.process->wait();
        instance.process.reset();
    }
    if (is_disk_lost) {
        std::filesystem::remove_all(this->test_deployment.path_of(instance.id + "-data"));
    }
}

void soak_fleet::terminate(fleet_instance& instance) {
    if (instance.process) {
        instance.is_stopping = true;
        instance.process->signal(SIGTERM);
    }
}

void soak_fleet::pause(fleet_instance& instance) {
    if (instance.process) {
        instance.is_paused = true;
        instance.process->signal(SIGSTOP);
    }
}

void soak_fleet::resume(fleet_instance& instance) {
    if (instance.process && instance.is_paused) {
        instance.is_paused = false;
        instance.process->signal(SIGCONT);
    }
}

void soak_fleet::refuse_writes(fleet_instance& instance) {
    if (instance.process) {
        constexpr rlim_t less_than_any_file = 1;
        instance.process->limit_file_size(less_than_any_file);
    }
}

void soak_fleet::accept_writes(fleet_instance& instance) {
    if (instance.process) {
        instance.process->limit_file_size(RLIM_INFINITY);
    }
}

void soak_fleet::cut(fleet_instance& gateway, process_tests::path_fault fault) {
    ++gateway.cuts;
    gateway.paths->cut(fault);
}

void soak_fleet::heal(fleet_instance& gateway) {
    if (--gateway.cuts == 0) {
        gateway.paths->heal();
    }
}

void soak_fleet::begin_limit(std::size_t service, int rate) {
    service %= this->service_replicas.size();
    this->service_replicas[service].stand_in->name_limit(std::to_string(rate));
    this->limited_times.push_back(
        {service, static_cast<double>(rate), std::chrono::steady_clock::now(), {}});
}

void soak_fleet::end_limit(std::size_t service) {
    service %= this->service_replicas.size();
    this->service_replicas[service].stand_in->name_limit("");
    for (limited_time& limited : this->limited_times) {
        if (limited.service == service && limited.end == time_point{}) {
            limited.end = std::chrono::steady_clock::now();
        }
    }
}

std::vector<std::string> soak_fleet::check_limits() const {
    std::vector<std::string> findings;
    for (const limited_time& limited : this->limited_times) {
        const auto most = process_tests::most_in_window(
            this->service_replicas[limited.service].stand_in->arrivals(),
            limited.begin + process_tests::limit_settling_time, limited.end);
        if (most > process_tests::allowed_in_window(limited.rate)) {
            findings.push_back("app" + std::to_string(limited.service) + " named " +
                               std::to_string(limited.rate) + " requests a second and got " +
                               std::to_string(most) + " in 4 s");
        }
    }
    return findings;
}

std::vector<std::string> soak_fleet::run_maintenance() {
    std::vector<std::string> unexpected_exits;
    for (fleet_instance& instance : this->instances) {
        if (!instance.process || !instance.process->has_exited()) {
            continue;
        }
        const int code = instance.process->wait();
        if (!instance.is_stopping || code != 0) {
            unexpected_exits.push_back(instance.id + " exited unexpectedly with code " +
                                       std::to_string(code));
        }
        instance.process.reset();
        this->start(instance);
    }
    return unexpected_exits;
}

soak_fleet::fleet_instance& soak_fleet::instance_at(role instance_role, std::size_t index) {
    return this->instances.at(static_cast<std::size_t>(instance_role) * instances_per_role +
                              index % instances_per_role);
}

std::string soak_fleet::callers_url(const fleet_instance& gateway) const {
    return "http://" + gateway.ip + ":" + this->external_port;
}

std::string soak_fleet::control_url(const fleet_instance& keeper) const {
    return "http://" + keeper.ip + ":" + this->external_port;
}

void soak_fleet::send_heartbeats() {
    ++this->heartbeat_rounds;
    for (auto* replicas : {&this->service_replicas, &this->engine_replicas, &this->chat_replicas}) {
        for (std::size_t i = 0; i < replicas->size(); ++i) {
            const fleet_instance& keeper =
                this->instance_at(role::keeper, this->heartbeat_rounds + i);
            const auto port = static_cast<std::uint16_t>(std::stoi(this->external_port));
            (*replicas)[i].stand_in->send_heartbeat_to(endpoint{keeper.ip, port});
        }
    }
    this->heartbeat_timer.arm(std::chrono::steady_clock::now() + heartbeat_interval);
}

} // namespace kingcupcart::soak
