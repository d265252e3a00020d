#include "soak/soak_fleet.h"

#include <sys/wait.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <variant>

namespace kingcupcart::soak {

namespace {

constexpr duration beat_interval = std::chrono::milliseconds(300);
constexpr duration event_interval = std::chrono::milliseconds(25);
constexpr int engine_slots = 4;
constexpr std::size_t app_count = 2;
constexpr std::size_t engine_count = 4;

const char* name_of(soak_fleet::role plays) {
    switch (plays) {
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

soak_fleet::soak_fleet(process_tests::deployment& on)
    : on(on),
      link_port(port_of(process_tests::free_address())),
      outer_port(port_of(process_tests::free_address())),
      beating([this] { this->beat(); }) {
    for (const role plays : {role::keeper, role::store, role::gateway}) {
        for (std::size_t i = 1; i <= machines_a_role; ++i) {
            machine one;
            one.plays = plays;
            one.id = name_of(plays) + std::to_string(i);
            one.ip = "127.0.1." + std::to_string(static_cast<std::size_t>(plays) * 10 + i);
            this->machines.push_back(std::move(one));
        }
    }
    for (machine& one : this->machines) {
        this->run(one, true);
    }
    this->add_replicas(this->apps, "app", "", app_count);
    this->add_replicas(this->models, "lm", "m", engine_count);
    this->beat();
}

void soak_fleet::add_replicas(std::vector<replica>& to, const std::string& service,
                              const std::string& model, std::size_t count) {
    for (std::size_t i = 1; i <= count; ++i) {
        stand_ins::platform_replica::parameters arguments;
        arguments.id = service + std::to_string(i);
        arguments.service = service;
        arguments.model = model;
        arguments.address = endpoint{"127.0.1.40", 0};
        arguments.events = engine_events;
        arguments.slots = engine_slots;
        arguments.event_interval = event_interval;
        auto opened = value_or_error([&] { return stand_ins::platform_replica::open(arguments); });
        replica one;
        one.stand_in = std::move(std::get<std::unique_ptr<stand_ins::platform_replica>>(opened));
        auto proxied = value_or_error([&] {
            return loopback_proxy::open(endpoint{"127.0.1.41", 0}, one.stand_in->address());
        });
        one.proxy = std::move(std::get<std::unique_ptr<loopback_proxy>>(proxied));
        one.stand_in->advertise(one.proxy->address());
        to.push_back(std::move(one));
    }
}

std::string soak_fleet::settings_of(const machine& one, bool is_first_start) const {
    const std::string role = name_of(one.plays);
    std::string text = "[instance]\nid = " + one.id +
                       "\nfailure-domain = local\nregion = local\nadmin = 127.0.0.1:0\n"
                       "stop-grace = 1s\nroles = " +
                       role + "\n[log]\nlevel = info\n[" + role +
                       "]\nlink-port = " + this->link_port + "\nseeds = ";
    for (std::size_t i = 0; i < machines_a_role; ++i) {
        text += (i == 0 ? "" : ", ") + this->machines[i].ip + ":" + this->outer_port;
    }
    text += "\n";
    const std::string links = one.ip + ":" + this->link_port;
    const std::string outer = one.ip + ":" + this->outer_port;
    if (one.plays == role::gateway) {
        return text + "callers = " + outer + "\nready = " + links + "\n";
    }
    text += "address = " + links + "\ndata = " + this->on.path_of(one.id + "-data") +
            "\ntolerated-losses = 1\nfirst-start = " + (is_first_start ? "true" : "false") + "\n";
    if (one.plays == role::keeper) {
        text += "control = " + outer + "\norder-lease = 500ms\n";
    }
    return text;
}

void soak_fleet::run(machine& one, bool is_first_start) {
    const std::string settings = this->on.path_of(one.id + ".ini");
    std::ofstream(settings) << this->settings_of(one, is_first_start);
    one.process = std::make_unique<process_tests::child_process>(
        std::vector<std::string>{KINGCUPCARTD, "--settings", settings},
        this->on.path_of(one.id + ".log"));
    one.is_paused = false;
    one.is_stopping = false;
}

void soak_fleet::start(machine& one) {
    if (!one.process) {
        this->run(one, false);
    }
}

void soak_fleet::kill(machine& one, bool is_disk_lost) {
    if (one.process) {
        one.process->signal(SIGKILL);
        one.process->wait();
        one.process.reset();
    }
    if (is_disk_lost) {
        std::filesystem::remove_all(this->on.path_of(one.id + "-data"));
    }
}

void soak_fleet::terminate(machine& one) {
    if (one.process) {
        one.is_stopping = true;
        one.process->signal(SIGTERM);
    }
}

void soak_fleet::pause(machine& one) {
    if (one.process) {
        one.is_paused = true;
        one.process->signal(SIGSTOP);
    }
}

void soak_fleet::go_on(machine& one) {
    if (one.process && one.is_paused) {
        one.is_paused = false;
        one.process->signal(SIGCONT);
    }
}

std::vector<std::string> soak_fleet::run_maintenance() {
    std::vector<std::string> ended;
    for (machine& one : this->machines) {
        if (!one.process || !one.process->has_exited()) {
            continue;
        }
        const int code = one.process->wait();
        if (!one.is_stopping || code != 0) {
            ended.push_back(one.id + " ended by itself with " + std::to_string(code));
        }
        one.process.reset();
        this->start(one);
    }
    return ended;
}

soak_fleet::machine& soak_fleet::pick(role plays, std::size_t number) {
    return this->machines.at(static_cast<std::size_t>(plays) * machines_a_role +
                             number % machines_a_role);
}

std::string soak_fleet::callers_of(const machine& gateway) const {
    return "http://" + gateway.ip + ":" + this->outer_port;
}

std::string soak_fleet::control_of(const machine& keeper) const {
    return "http://" + keeper.ip + ":" + this->outer_port;
}

void soak_fleet::beat() {
    ++this->beats;
    for (auto* list : {&this->apps, &this->models}) {
        for (std::size_t i = 0; i < list->size(); ++i) {
            const machine& keeper = this->pick(role::keeper, this->beats + i);
            const auto port = static_cast<std::uint16_t>(std::stoi(this->outer_port));
            (*list)[i].stand_in->beat_at(endpoint{keeper.ip, port});
        }
    }
    this->beating.arm(std::chrono::steady_clock::now() + beat_interval);
}

} // namespace kingcupcart::soak
