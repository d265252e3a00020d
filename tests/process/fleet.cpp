#include "process/fleet.h"

#include <chrono>
#include <csignal>

namespace kingcupcart::process_tests {

namespace {

using nlohmann::json;

constexpr const char* keeper_ip = "127.0.0.2";
constexpr const char* store_ip = "127.0.0.3";
constexpr const char* gateway_ip = "127.0.0.4";
constexpr const char* replica_ip = "127.0.0.5";
constexpr duration beat_interval = std::chrono::milliseconds(300);

json configuration(const fleet_shape& shape) {
    json made = json::parse(R"({
        "version": 3,
        "routes": [
            {"name": "book", "host": "shop", "pathPrefix": "/b/", "type": "idempotent",
             "timeoutMs": 2000, "sloMs": 200, "service": "app", "maxAttempts": 2},
            {"name": "drafts", "host": "shop", "pathPrefix": "/d/", "type": "rollout",
             "timeoutMs": 10000, "service": "lm", "maxAttempts": 3, "maxQueueS": 40,
             "dueMs": 7500, "resumable": true}],
        "services": [
            {"name": "app", "maxConns": 10},
            {"name": "lm", "maxConns": 10,
             "engine": {"slots": 4, "kvCapacity": 10000, "stride": 1, "models": [{"name": "m"}]}}],
        "limits": {}})");
    made["services"][1]["engine"]["slots"] = shape.slots;
    made["services"][1]["maxConns"] = 2 * shape.slots;
    return made;
}

std::unique_ptr<stand_ins::platform_replica>
open_replica(const stand_ins::platform_replica::parameters& arguments) {
    auto opened = value_or_error([&] { return stand_ins::platform_replica::open(arguments); });
    return std::move(std::get<std::unique_ptr<stand_ins::platform_replica>>(opened));
}

std::string port_of(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
}

} // namespace

fleet::fleet(deployment& on, fleet_shape shape)
    : on(on),
      shape(shape),
      link_port(port_of(free_address())),
      outer_port(port_of(free_address())),
      beating([this] { this->beat(); }) {
    const endpoint keeper{keeper_ip, static_cast<std::uint16_t>(std::stoi(this->outer_port))};
    this->app = open_replica({"app", "app", "", endpoint{replica_ip, 0}, keeper});
    for (int i = 0; i < shape.engines; ++i) {
        this->models.push_back(
            open_replica({"lm" + std::to_string(i), "lm", "m", endpoint{replica_ip, 0}, keeper,
                          shape.events, shape.slots, shape.event_interval}));
    }
    this->add_keeper("keeper", keeper_ip, true);
    this->start_store();
    this->gateway_process =
        &this->on.add_process("gateway", this->gateway_settings("gateway", gateway_ip, keeper_ip));
    this->beat();
}

child_process& fleet::add_keeper(const std::string& id, const std::string& ip, bool is_first) {
    return this->on.add_process(
        id, this->settings_of(id, "keeper",
                              "address = " + ip + ":" + this->link_port +
                                  "\ndata = " + this->on.path_of(id + "-data") +
                                  "\ncontrol = " + ip + ":" + this->outer_port +
                                  "\nfirst-start = " + (is_first ? "true" : "false") +
                                  "\ntolerated-losses = 0\norder-lease = 100ms\n",
                              keeper_ip));
}

std::string fleet::gateway_settings(const std::string& id, const std::string& ip,
                                    const std::string& seed_ip) const {
    return this->settings_of(id, "gateway",
                             "callers = " + ip + ":" + this->outer_port + "\nready = " + ip + ":" +
                                 this->link_port + "\n",
                             seed_ip);
}

std::string fleet::fleet_lines(const std::string& seed_ip) const {
    return "seeds = " + seed_ip + ":" + this->outer_port + "\nlink-port = " + this->link_port +
           "\n";
}

std::string fleet::settings_of(const std::string& id, const std::string& role,
                               const std::string& rest, const std::string& seed_ip) const {
    return "[instance]\nid = " + id +
           "\nfailure-domain = local\nregion = local\nadmin = 127.0.0.1:0\nstop-grace = 1s\n"
           "roles = " +
           role + "\n[" + role + "]\n" + this->fleet_lines(seed_ip) + rest +
           "[log]\nlevel = error\n";
}

void fleet::start_store() {
    this->store_process = &this->on.add_process(
        "store", this->settings_of("store", "store",
                                   "address = " + std::string(store_ip) + ":" + this->link_port +
                                       "\ndata = " + this->on.path_of("store-data") +
                                       "\nfirst-start = true\ntolerated-losses = 0\n",
                                   keeper_ip));
}

void fleet::kill_store() {
    this->store_process->signal(SIGKILL);
    this->store_process->wait();
}

void fleet::beat() {
    this->app->beat();
    for (const auto& model : this->models) {
        model->beat();
    }
    this->beating.arm(std::chrono::steady_clock::now() + beat_interval);
}

std::string fleet::callers() const {
    return this->callers_at(gateway_ip);
}

std::string fleet::callers_at(const std::string& ip) const {
    return "http://" + ip + ":" + this->outer_port;
}

bool fleet::says_ready() {
    return this->says_ready(gateway_ip);
}

bool fleet::says_ready(const std::string& ip) {
    http::request wanted;
    wanted.url = "http://" + ip + ":" + this->link_port + "/kingcupcart/ready";
    return this->on.call(wanted)->head.status == 200;
}

bool fleet::is_ready() {
    http::request put;
    put.method = "POST";
    put.url =
        "http://" + std::string(keeper_ip) + ":" + this->outer_port + "/kingcupcart/config/put";
    put.content_type = "application/json";
    put.body = configuration(this->shape).dump();
    const auto is_put = [&] { return this->on.call(put)->head.status == 200; };
    const auto is_served = [&] {
        return this->on.call(this->book("warm-up", ""))->head.status == 200;
    };
    const auto takes_jobs = [&] {
        return this->on.call(this->submit("warm-up", {"w"}, 1))->head.status == 202;
    };
    return this->on.run_until(is_put) && this->on.run_until([&] { return this->says_ready(); }) &&
           this->on.run_until(is_served) && this->on.run_until(takes_jobs) &&
           this->results("warm-up", 1).size() == 1;
}

http::request fleet::book(const std::string& name, const std::string& body) const {
    http::request wanted;
    wanted.method = "POST";
    wanted.url = this->callers() + "/b/1";
    wanted.headers = {{"Host", "shop"}, {"X-Request-Id", name}, {"X-Deadline-Ms", "2000"}};
    wanted.body = body;
    return wanted;
}

http::request fleet::read_configuration() const {
    http::request wanted;
    wanted.url =
        "http://" + std::string(keeper_ip) + ":" + this->outer_port + "/kingcupcart/config/get";
    return wanted;
}

http::request fleet::submit(const std::string& job, const std::vector<std::string>& items,
                            int oldest_version) const {
    json requests = json::array();
    for (const std::string& item : items) {
        requests.push_back({{"id", item},
                            {"path", "/d/" + item},
                            {"headers", {{"X-Model", "m"}, {"X-Token-Count", "10,20"}}},
                            {"body", "AAEC"},
                            {"tokens", 30},
                            {"group", "g-" + item}});
    }
    http::request wanted;
    wanted.method = "POST";
    wanted.url = this->callers() + "/d/" + job;
    wanted.headers = {{"Host", "shop"}, {"X-Request-Id", job}};
    wanted.content_type = "application/json";
    wanted.body = json{
        {"step", 0},
        {"model", "m"},
        {"minVersion", oldest_version},
        {"desired", items.size()},
        {"requests",
         requests}}.dump();
    return wanted;
}

http::request fleet::end(const std::string& job) const {
    http::request wanted;
    wanted.method = "DELETE";
    wanted.url = this->callers() + "/kingcupcart/lots/" + job;
    wanted.headers = {{"Host", "shop"}};
    return wanted;
}

http::request fleet::name_weights(int version) const {
    http::request wanted;
    wanted.method = "POST";
    wanted.url =
        "http://" + std::string(keeper_ip) + ":" + this->outer_port + "/kingcupcart/version-put";
    wanted.content_type = "application/json";
    wanted.body = json{{"model", "m"}, {"version", version}}.dump();
    return wanted;
}

json fleet::results(const std::string& job, std::size_t count) {
    http::request wanted;
    wanted.url = this->callers() + "/kingcupcart/lots/" + job + "?after=0";
    wanted.headers = {{"Host", "shop"}, {"X-Wait-Ms", "200"}};
    json results = json::array();
    this->on.run_until([&] {
        const auto answer = this->on.call(wanted);
        if (answer->head.status == 200) {
            results = json::parse(answer->body)["results"];
        }
        return results.size() >= count;
    });
    return results;
}

std::string fleet::text_of(const std::string& item) const {
    std::string text;
    for (int number = 1; number <= this->shape.events; ++number) {
        text += (number == 1 ? "" : "\n") + stand_ins::platform_event(item, number);
    }
    return text;
}

} // namespace kingcupcart::process_tests
