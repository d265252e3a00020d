#include "process/fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>

namespace kingcupcart::process_tests {

namespace {

using nlohmann::json;

constexpr const char* keeper_ip = "127.0.0.2";
constexpr const char* gateway_ip = "127.0.0.4";
constexpr const char* replica_ip = "127.0.0.5";
/// Version of the configuration that `wait_until_ready` sends.
constexpr int first_version = 3;
constexpr duration heartbeat_interval = std::chrono::milliseconds(300);

json configuration(const fleet_options& options) {
    json document = json::parse(R"({
        "routes": [
            {"name": "book", "host": "shop", "pathPrefix": "/b/", "type": "idempotent",
             "timeoutMs": 2000, "sloMs": 200, "service": "app", "maxAttempts": 2},
            {"name": "plain", "host": "shop", "pathPrefix": "/p/", "type": "idempotent",
             "timeoutMs": 4000, "sloMs": 2500, "service": "plain", "maxAttempts": 2},
            {"name": "slow", "host": "shop", "pathPrefix": "/s/", "type": "non_idempotent",
             "timeoutMs": 20000, "sloMs": 200, "service": "app", "maxAttempts": 1},
            {"name": "flow", "host": "shop", "pathPrefix": "/f/", "type": "streaming",
             "timeoutMs": 15000, "sloMs": 200, "service": "app", "maxAttempts": 2},
            {"name": "talk", "host": "shop", "pathPrefix": "/t/", "type": "streaming",
             "timeoutMs": 15000, "sloMs": 2500, "service": "chat", "maxAttempts": 2,
             "resumable": true},
            {"name": "drafts", "host": "shop", "pathPrefix": "/d/", "type": "rollout",
             "timeoutMs": 10000, "service": "lm", "maxAttempts": 3, "maxQueueS": 40,
             "dueMs": 7500, "resumable": true}],
        "services": [
            {"name": "app", "maxConns": 10},
            {"name": "plain", "maxConns": 10},
            {"name": "chat", "maxConns": 100},
            {"name": "lm", "maxConns": 10,
             "engine": {"slots": 4, "kvCapacity": 10000, "stride": 1, "models": [{"name": "m"}]}}],
        "limits": {}})");
    document["services"].back()["engine"]["slots"] = options.slots;
    document["services"].back()["maxConns"] = 2 * options.slots;
    if (!options.engine_scaling.empty()) {
        document["services"].back()["scaling"] = json::parse(options.engine_scaling);
    }
    return document;
}

std::unique_ptr<stand_ins::platform_replica>
open_replica(const stand_ins::platform_replica::parameters& arguments) {
    auto opened = value_or_error([&] { return stand_ins::platform_replica::open(arguments); });
    return std::move(std::get<std::unique_ptr<stand_ins::platform_replica>>(opened));
}

/// The address and the identifier of the member at `index` of the group of keepers or stores; the
/// identifier is also the prefix of its file names.
std::string keeper_ip_at(std::size_t index) {
    return index == 0 ? keeper_ip : "127.0.0.2" + std::to_string(index);
}
std::string store_ip_at(std::size_t index) {
    return index == 0 ? "127.0.0.3" : "127.0.0.3" + std::to_string(index);
}
std::string member_id(const std::string& role, std::size_t index) {
    return index == 0 ? role : role + std::to_string(index + 1);
}

/// The memory of the smallest machines that the users run such an instance on, in megabytes.
constexpr int gateway_memory_mb = 88;
constexpr int store_memory_mb = 140;
constexpr int keeper_memory_mb = 256;

std::string port_of(const std::string& address) {
    return address.substr(address.rfind(':') + 1);
}

} // namespace

int fleet::memory_mb(const std::string& role) {
    if (role == "gateway") {
        return gateway_memory_mb;
    }
    return role == "store" ? store_memory_mb : keeper_memory_mb;
}

fleet::fleet(deployment& test_deployment, fleet_options options)
    : test_deployment(test_deployment),
      options(options),
      link_port(port_of(free_address())),
      external_port(port_of(free_address())),
      relay_port(port_of(free_address())),
      heartbeat_timer([this] { this->send_heartbeats(); }) {
    const endpoint keeper{keeper_ip, static_cast<std::uint16_t>(std::stoi(this->external_port))};
    for (std::size_t i = 0; i < options.services; ++i) {
        this->service_replicas.push_back(
            open_replica({member_id("app", i), "app", "", endpoint{replica_ip, 0}, keeper}));
    }
    for (int i = 0; i < options.engines; ++i) {
        this->engine_replicas.push_back(
            open_replica({"lm" + std::to_string(i), "lm", "m", endpoint{replica_ip, 0}, keeper,
                          options.events, options.slots, options.event_interval}));
    }
    for (std::size_t i = 0; i < options.group_size; ++i) {
        this->keeper_processes.push_back(
            &this->add_keeper(member_id("keeper", i), keeper_ip_at(i), true));
    }
    for (std::size_t i = 0; i < options.group_size; ++i) {
        this->start_store(i);
    }
    this->gateway_process = &this->test_deployment.add_process(
        "gateway", this->gateway_settings("gateway", gateway_ip, keeper_ip), RLIM_INFINITY,
        options.gateway_environment);
    this->send_heartbeats();
}

child_process& fleet::add_keeper(const std::string& id, const std::string& ip, bool is_first) {
    return this->test_deployment.add_process(
        id, this->instance_settings(
                id, "keeper",
                "address = " + ip + ":" + this->link_port + "\ndata = " +
                    this->test_deployment.path_of(id + "-data") + "\ncontrol = " + ip + ":" +
                    this->external_port + "\nfirst-start = " + (is_first ? "true" : "false") +
                    "\ntolerated-losses = " + std::to_string(this->tolerated_losses()) +
                    "\norder-lease = 100ms\n",
                keeper_ip));
}

std::string fleet::gateway_settings(const std::string& id, const std::string& ip,
                                    const std::string& seed_ip) const {
    return this->instance_settings(
        id, "gateway",
        "callers = " + ip + ":" + this->external_port + "\nready = " + ip + ":" + this->link_port +
            "\naddress = " + ip + ":" + this->relay_port + "\n" + this->options.gateway_lines,
        seed_ip);
}

std::string fleet::discovery_settings(const std::string& seed_ip) const {
    std::string seeds = seed_ip + ":" + this->external_port;
    for (std::size_t i = 1; seed_ip == keeper_ip && i < this->options.group_size; ++i) {
        seeds += ", " + keeper_ip_at(i) + ":" + this->external_port;
    }
    return "seeds = " + seeds + "\nlink-port = " + this->link_port + "\n";
}

std::string fleet::instance_settings(const std::string& id, const std::string& role,
                                     const std::string& role_settings,
                                     const std::string& seed_ip) const {
    return "[instance]\nid = " + id +
           "\nfailure-domain = local\nregion = local\nadmin = 127.0.0.1:0\nstop-grace = 1s\n"
           "roles = " +
           role + "\nmemory = " + std::to_string(memory_mb(role)) + "MB\n[" + role + "]\n" +
           this->discovery_settings(seed_ip) + role_settings + this->options.further_settings +
           "[log]\n" + this->options.log_settings;
}

void fleet::start_store(std::size_t index, rlim_t max_file_size) {
    const std::string id = member_id("store", index);
    child_process& started = this->test_deployment.add_process(
        id,
        this->instance_settings(id, "store",
                                "address = " + store_ip_at(index) + ":" + this->link_port +
                                    "\ndata = " + this->test_deployment.path_of(id + "-data") +
                                    "\nfirst-start = true\ntolerated-losses = " +
                                    std::to_string(this->tolerated_losses()) + "\n",
                                keeper_ip),
        max_file_size);
    this->store_processes.resize(std::max(this->store_processes.size(), index + 1));
    this->store_processes[index] = &started;
}

std::size_t fleet::keeper_journal_size(std::size_t index) const {
    return std::filesystem::file_size(
        this->test_deployment.path_of(member_id("keeper", index) + "-data/journal"));
}

std::size_t fleet::store_journal_size(std::size_t index) const {
    return std::filesystem::file_size(
        this->test_deployment.path_of(member_id("store", index) + "-data/journal"));
}

void fleet::restart_keeper(std::size_t index) {
    this->keeper_processes.at(index)->signal(SIGKILL);
    this->keeper_processes.at(index)->wait();
    this->keeper_processes.at(index) =
        &this->add_keeper(member_id("keeper", index), keeper_ip_at(index), true);
}

http::request fleet::deregister_service_request() const {
    http::request request = this->read_configuration_request();
    request.method = "POST";
    request.url = request.url.substr(0, request.url.find("/kingcupcart/")) +
                  "/kingcupcart/replicas/app/deregister";
    request.body = R"({"born":)" + std::to_string(stand_ins::platform_replica::start_time()) + "}";
    return request;
}

void fleet::kill_store(std::size_t index) {
    this->store_processes.at(index)->signal(SIGKILL);
    this->store_processes.at(index)->wait();
}

void fleet::send_heartbeats() {
    if (this->sends_heartbeats) {
        for (const auto& replica : this->service_replicas) {
            replica->send_heartbeat();
        }
        for (const auto& replica : this->engine_replicas) {
            replica->send_heartbeat();
        }
    }
    this->heartbeat_timer.arm(std::chrono::steady_clock::now() + heartbeat_interval);
}

std::unique_ptr<stand_ins::crashing_replica>
fleet::add_plain_replica(const std::string& name, const std::string& fatal_text,
                         duration response_time) const {
    stand_ins::crashing_replica::parameters arguments;
    arguments.name = name;
    arguments.service = "plain";
    arguments.address = endpoint{replica_ip, 0};
    arguments.keeper =
        endpoint{keeper_ip, static_cast<std::uint16_t>(std::stoi(this->external_port))};
    arguments.response_time = response_time;
    arguments.fatal_text = fatal_text;
    auto opened = value_or_error([&] { return stand_ins::crashing_replica::open(arguments); });
    return std::move(std::get<std::unique_ptr<stand_ins::crashing_replica>>(opened));
}

std::unique_ptr<stand_ins::platform_replica>
fleet::add_chat_replica(const std::string& name, const std::string& software, int events,
                        duration event_interval) const {
    stand_ins::platform_replica::parameters arguments;
    arguments.id = name;
    arguments.service = "chat";
    arguments.model = "chat";
    arguments.software = software;
    arguments.address = endpoint{replica_ip, 0};
    arguments.keeper =
        endpoint{keeper_ip, static_cast<std::uint16_t>(std::stoi(this->external_port))};
    arguments.events = events;
    arguments.slots = 100;
    arguments.event_interval = event_interval;
    arguments.events_state_software = true;
    return open_replica(arguments);
}

http::request fleet::plain_request(const std::string& ip, const std::string& name,
                                   const std::string& body) const {
    http::request request = this->booking_request(name, body);
    request.url = this->callers_at(ip) + "/p/1";
    request.headers.back().value = "4000";
    return request;
}

std::string fleet::callers() const {
    return this->callers_at(gateway_ip);
}

std::string fleet::callers_at(const std::string& ip) const {
    return "http://" + ip + ":" + this->external_port;
}

bool fleet::reports_ready() {
    return this->reports_ready(gateway_ip);
}

bool fleet::reports_ready(const std::string& ip) {
    http::request request;
    request.url = "http://" + ip + ":" + this->link_port + "/kingcupcart/ready";
    return this->test_deployment.call(request)->head.status == 200;
}

bool fleet::wait_until_ready() {
    const auto is_accepted = [&] {
        return this->test_deployment.call(this->put_configuration_request(first_version))
                   ->head.status == 200;
    };
    const auto is_served = [&] {
        return this->test_deployment.call(this->booking_request("warm-up", ""))->head.status == 200;
    };
    const auto accepts_jobs = [&] {
        return this->test_deployment.call(this->submit_job_request("warm-up", {"w"}, 1))
                   ->head.status == 202;
    };
    return this->test_deployment.run_until(is_accepted) &&
           this->test_deployment.run_until([&] { return this->reports_ready(); }) &&
           this->test_deployment.run_until(is_served) &&
           this->test_deployment.run_until(accepts_jobs) && this->results("warm-up", 1).size() == 1;
}

http::request fleet::booking_request(const std::string& name, const std::string& body) const {
    http::request request;
    request.method = "POST";
    request.url = this->callers() + "/b/1";
    request.headers = {{"Host", "shop"}, {"X-Request-Id", name}, {"X-Deadline-Ms", "2000"}};
    request.body = body;
    return request;
}

std::string fleet::control_url(std::size_t keeper_index) const {
    return "http://" + keeper_ip_at(keeper_index) + ":" + this->external_port;
}

http::request fleet::read_configuration_request(std::size_t keeper_index) const {
    http::request request;
    request.url = this->control_url(keeper_index) + "/kingcupcart/config/get";
    return request;
}

http::request fleet::put_configuration_request(int version, std::size_t keeper_index) const {
    json document = configuration(this->options);
    document["version"] = version;
    http::request request;
    request.method = "POST";
    request.url = this->control_url(keeper_index) + "/kingcupcart/config/put";
    request.content_type = "application/json";
    request.body = document.dump();
    return request;
}

http::request fleet::submit_job_request(const std::string& job,
                                        const std::vector<std::string>& items,
                                        int required_version) const {
    json item_requests = json::array();
    for (const std::string& item : items) {
        item_requests.push_back({{"id", item},
                                 {"path", "/d/" + item},
                                 {"headers", {{"X-Model", "m"}, {"X-Token-Count", "10,20"}}},
                                 {"body", "AAEC"},
                                 {"tokens", 30},
                                 {"group", "g-" + item}});
    }
    http::request request;
    request.method = "POST";
    request.url = this->callers() + "/d/" + job;
    request.headers = {{"Host", "shop"}, {"X-Request-Id", job}};
    request.content_type = "application/json";
    request.body = json{{"step", 0},
                        {"model", "m"},
                        {"minVersion", required_version},
                        {"desired", items.size()},
                        {"requests", item_requests}}
                       .dump();
    return request;
}

http::request fleet::submit_scored_job_request(const std::string& job,
                                               const std::vector<std::string>& items,
                                               const std::string& scorer_path) const {
    http::request request = this->submit_job_request(job, items, 1);
    json body = json::parse(request.body);
    for (json& item : body["requests"]) {
        const std::string id = item["id"];
        item["scorerUrl"] = {{"id", score_request_id(id)},
                             {"host", "shop"},
                             {"path", scorer_path + id},
                             {"body", "AAEC"}};
    }
    request.body = body.dump();
    return request;
}

http::request fleet::end_job_request(const std::string& job) const {
    http::request request;
    request.method = "DELETE";
    request.url = this->callers() + "/kingcupcart/lots/" + job;
    request.headers = {{"Host", "shop"}};
    return request;
}

http::request fleet::publish_weights_request(int version) const {
    http::request request;
    request.method = "POST";
    request.url =
        "http://" + std::string(keeper_ip) + ":" + this->external_port + "/kingcupcart/version-put";
    request.content_type = "application/json";
    request.body = json{{"model", "m"}, {"version", version}}.dump();
    return request;
}

json fleet::results(const std::string& job, std::size_t count) {
    http::request request;
    request.url = this->callers() + "/kingcupcart/lots/" + job + "?after=0";
    request.headers = {{"Host", "shop"}, {"X-Wait-Ms", "200"}};
    json results = json::array();
    this->test_deployment.run_until([&] {
        const auto response = this->test_deployment.call(request);
        if (response->head.status == 200) {
            results = json::parse(response->body)["results"];
        }
        return results.size() >= count;
    });
    return results;
}

std::string fleet::expected_item_text(const std::string& item) const {
    std::string text;
    for (int number = 1; number <= this->options.events; ++number) {
        text += (number == 1 ? "" : "\n") + stand_ins::expected_event(item, number);
    }
    return text;
}

} // namespace kingcupcart::process_tests
