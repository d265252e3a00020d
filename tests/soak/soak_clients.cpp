#include "soak/soak_clients.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::soak {

namespace {

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
/// Users expect service within this time after the last fault is removed.
constexpr duration recovery_limit = std::chrono::seconds(15);
/// Callers wait no longer than this for a response.
constexpr duration response_limit = std::chrono::seconds(8);
/// Time from the acknowledgement of a job until every instance finds it.
constexpr duration job_visibility_limit = std::chrono::seconds(1);
/// Time from the acknowledgement of a configuration until no instance returns an older one.
constexpr duration configuration_limit = std::chrono::milliseconds(2500);
constexpr std::size_t items_per_job = 6;
/// Tries of a client whose stream breaks, or who leaves it.
constexpr int max_stream_tries = 4;

json configuration(std::uint64_t version) {
    json document = json::parse(R"({
        "routes": [
            {"name": "book", "host": "shop", "pathPrefix": "/b/", "type": "idempotent",
             "timeoutMs": 2000, "sloMs": 200, "service": "app", "maxAttempts": 3},
            {"name": "pay", "host": "shop", "pathPrefix": "/p/", "type": "non_idempotent",
             "timeoutMs": 2000, "sloMs": 200, "service": "app", "maxAttempts": 3},
            {"name": "talk", "host": "shop", "pathPrefix": "/t/", "type": "streaming",
             "timeoutMs": 15000, "sloMs": 2500, "service": "chat", "maxAttempts": 3,
             "resumable": true},
            {"name": "drafts", "host": "shop", "pathPrefix": "/d/", "type": "rollout",
             "timeoutMs": 20000, "service": "lm", "maxAttempts": 5, "maxQueueS": 120,
             "dueMs": 7500, "resumable": true}],
        "services": [
            {"name": "app", "maxConns": 10},
            {"name": "chat", "maxConns": 10},
            {"name": "lm", "maxConns": 10,
             "engine": {"slots": 4, "kvCapacity": 10000, "stride": 1, "models": [{"name": "m"}]}}],
        "limits": {}})");
    document["version"] = version;
    return document;
}

http::request make_shop_request(const std::string& method, const std::string& url) {
    http::request request;
    request.method = method;
    request.url = url;
    request.headers = {{"Host", "shop"}};
    return request;
}

std::string expected_item_text(const std::string& item) {
    std::string text;
    for (int number = 1; number <= soak_fleet::engine_events; ++number) {
        text += (number == 1 ? "" : "\n") + stand_ins::expected_event(item, number);
    }
    return text;
}

} // namespace

soak_clients::soak_clients(process_tests::deployment& test_deployment, soak_fleet& fleet,
                           std::uint64_t seed)
    : test_deployment(test_deployment), fleet(fleet), random(seed) {}

std::string soak_clients::random_gateway() {
    return this->fleet.callers_url(
        this->fleet.instance_at(soak_fleet::role::gateway, this->random()));
}

std::string soak_clients::random_keeper() {
    return this->fleet.control_url(
        this->fleet.instance_at(soak_fleet::role::keeper, this->random()));
}

void soak_clients::begin(const http::request& request,
                         std::function<void(const process_tests::client_call&)> on_complete) {
    this->pending_calls.push_back({this->test_deployment.begin(request), std::move(on_complete)});
}

bool soak_clients::wait_until_serving(duration limit) {
    const time_point end = std::chrono::steady_clock::now() + limit;
    const auto accepts_jobs = [this] {
        return std::any_of(this->jobs.begin(), this->jobs.end(),
                           [](const auto& item) { return item.second.is_accepted; });
    };
    while (std::chrono::steady_clock::now() < end) {
        if (this->accepted_configuration_version == 0) {
            this->put_configuration();
        } else if (this->served == 0) {
            this->send_booking(true);
        } else if (!accepts_jobs()) {
            this->submit_job("job" + std::to_string(++this->last_request_number));
        } else {
            return true;
        }
        this->test_deployment.wait(std::chrono::milliseconds(100));
        this->process_completed_calls();
    }
    return false;
}

void soak_clients::process_completed_calls() {
    std::vector<pending_call> completed_calls;
    for (pending_call& pending : this->pending_calls) {
        if (pending.call->is_completed) {
            completed_calls.push_back(std::move(pending));
        }
    }
    std::erase_if(this->pending_calls,
                  [](const pending_call& pending) { return pending.call == nullptr; });
    for (const pending_call& pending : completed_calls) {
        if (pending.call->result == http::call_result::complete) {
            pending.on_complete(*pending.call);
        }
    }
}

void soak_clients::run_random_action() {
    constexpr std::uint64_t percent = 100;
    const std::uint64_t draw = this->random() % percent;
    if (draw < 32) {
        this->send_booking(true);
    } else if (draw < 40) {
        this->begin_stream();
    } else if (draw < 55) {
        this->send_booking(false);
    } else if (draw < 62) {
        this->submit_job("job" + std::to_string(++this->last_request_number));
    } else if (draw < 92) {
        this->read_random_job();
    } else if (draw < 94) {
        this->put_configuration();
    } else if (draw < 99) {
        this->read_configuration();
    } else {
        this->publish_weights();
    }
    this->process_completed_calls();
    this->update_streams();
}

void soak_clients::begin_stream() {
    const std::string name = "talk" + std::to_string(++this->last_request_number);
    open_stream added;
    added.stream = std::make_unique<process_tests::client_stream>(this->test_deployment, name);
    added.leave_after = static_cast<int>(this->random() % soak_fleet::engine_events) + 1;
    added.stream->begin(this->random_gateway());
    ++this->new_streams;
    this->streams.push_back(std::move(added));
}

void soak_clients::update_streams() {
    std::erase_if(this->streams, [this](open_stream& open) {
        process_tests::client_stream& stream = *open.stream;
        if (!open.goes_on && stream.goes_on()) {
            open.goes_on = true;
            ++(stream.tries() == 1 ? this->streams_begun : this->take_ups_going_on);
        }
        if (stream.versions().size() > 1) {
            this->report("stream " + stream.call().header("X-Request-Id") +
                         " holds events of two software versions");
            return true;
        }
        if (stream.is_broken()) {
            this->report("stream " + stream.call().header("X-Request-Id") +
                         " lacks an event or holds one twice");
            return true;
        }
        const bool is_complete = stream.is_ended() && stream.call().head.status == status_ok &&
                                 stream.call().result == http::call_result::complete;
        if (is_complete && !stream.has_event(soak_fleet::engine_events)) {
            this->report("stream " + stream.call().header("X-Request-Id") +
                         " ended as complete before its last event");
            return true;
        }
        const bool leaves = stream.has_event(open.leave_after);
        if (!leaves && !stream.is_ended()) {
            return false;
        }
        // A client that has received nothing begins anew.
        if (stream.has_event(soak_fleet::engine_events) || !stream.has_event(1) ||
            stream.tries() == max_stream_tries) {
            return true;
        }
        stream.leave();
        stream.take_up(this->random_gateway());
        ++this->take_ups;
        open.goes_on = false;
        open.leave_after = soak_fleet::engine_events;
        return false;
    });
}

void soak_clients::send_booking(bool is_repeatable) {
    const std::string name =
        (is_repeatable ? "book" : "pay") + std::to_string(++this->last_request_number);
    http::request request =
        make_shop_request("POST", this->random_gateway() + (is_repeatable ? "/b/1" : "/p/1"));
    request.headers.push_back({"X-Request-Id", name});
    request.headers.push_back({"X-Deadline-Ms", "2000"});
    request.body = "body of " + name;
    request.repeatable = false;
    if (!is_repeatable) {
        this->at_most_once_statuses.emplace(name, 0);
    }
    this->begin(request, [this, name, is_repeatable](const process_tests::client_call& call) {
        if (!is_repeatable) {
            this->at_most_once_statuses[name] = call.head.status;
        }
        if (call.head.status != status_ok) {
            ++this->refused;
            return;
        }
        ++this->served;
        if (call.body != "ran body of " + name || call.header("X-Request-Id") != name) {
            this->report("request " + name + " got a wrong response: " + call.body);
        }
    });
}

void soak_clients::submit_job(const std::string& name) {
    job& submitted = this->jobs[name];
    submitted.required_version = this->published_weights > 1 ? this->published_weights - 1 : 1;
    json item_requests = json::array();
    for (std::size_t i = 0; i < items_per_job; ++i) {
        const std::string item = name + "-" + std::to_string(i);
        submitted.items.push_back(item);
        item_requests.push_back({{"id", item},
                                 {"path", "/d/" + item},
                                 {"headers", {{"X-Model", "m"}, {"X-Token-Count", "10,20"}}},
                                 {"body", "AAEC"},
                                 {"tokens", 30},
                                 {"group", name + "-g" + std::to_string(i / 2)}});
    }
    http::request request = make_shop_request("POST", this->random_gateway() + "/d/" + name);
    request.headers.push_back({"X-Request-Id", name});
    request.content_type = "application/json";
    request.body = json{{"step", 0},
                        {"model", "m"},
                        {"minVersion", submitted.required_version},
                        {"desired", submitted.items.size()},
                        {"requests", item_requests}}
                       .dump();
    this->begin(request, [this, name](const process_tests::client_call& call) {
        if (call.head.status == status_accepted) {
            this->jobs[name].is_accepted = true;
            this->jobs[name].accepted_at = std::chrono::steady_clock::now();
        }
    });
}

void soak_clients::read_random_job() {
    std::vector<std::string> names;
    for (const auto& [name, known_job] : this->jobs) {
        if (known_job.is_accepted) {
            names.push_back(name);
        }
    }
    if (!names.empty()) {
        this->read_results(names[this->random() % names.size()]);
    }
}

void soak_clients::read_results(const std::string& name) {
    http::request request =
        make_shop_request("GET", this->random_gateway() + "/kingcupcart/lots/" + name + "?after=0");
    request.headers.push_back({"X-Wait-Ms", "300"});
    const time_point sent_at = std::chrono::steady_clock::now();
    this->begin(request, [this, name, sent_at](const process_tests::client_call& call) {
        if (call.head.status == status_ok) {
            this->record_results(name, json::parse(call.body, nullptr, false));
        } else if (call.head.status == status_not_found &&
                   sent_at - this->jobs[name].accepted_at > job_visibility_limit) {
            this->report(name + " was accepted but is not found");
        }
    });
}

void soak_clients::record_results(const std::string& name, const json& response) {
    if (!response.is_object() || !response.contains("results")) {
        this->report(name + ": the results are malformed");
        return;
    }
    job& known_job = this->jobs[name];
    const json& results = response["results"];
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (i >= known_job.results.size()) {
            this->check_result(name, results[i]);
            known_job.results.push_back(results[i]);
        } else if (results[i] != known_job.results[i]) {
            this->report(name + " has a changed result at position " + std::to_string(i));
        }
    }
}

void soak_clients::check_result(const std::string& name, const json& result) {
    const job& known_job = this->jobs[name];
    const std::string item = result["id"];
    const auto has_same_id = [&](const json& other) { return other["id"] == item; };
    if (std::find(known_job.items.begin(), known_job.items.end(), item) == known_job.items.end()) {
        this->report(name + " lists " + item + " of another job");
    } else if (std::any_of(known_job.results.begin(), known_job.results.end(), has_same_id)) {
        this->report(name + " lists " + item + " twice");
    } else if (result["state"] != "completed") {
        this->report(item + " was given up");
    } else if (result["text"] != expected_item_text(item)) {
        this->report(item + " has a wrong text: " + result["text"].dump());
    } else {
        for (const json& version : result["versions"]) {
            const std::uint64_t weight_version = version;
            const bool was_generated = std::any_of(
                this->fleet.engines().begin(), this->fleet.engines().end(),
                [&](const auto& engine) {
                    return engine.stand_in->item_weight_versions(item).contains(weight_version);
                });
            if (!was_generated || weight_version < known_job.required_version) {
                this->report(item + " names an unexpected weight version " +
                             std::to_string(weight_version));
            }
        }
    }
}

void soak_clients::put_configuration() {
    const std::uint64_t version = ++this->sent_configuration_version;
    http::request request;
    request.method = "POST";
    request.url = this->random_keeper() + "/kingcupcart/config/put";
    request.content_type = "application/json";
    request.body = configuration(version).dump();
    this->begin(request, [this, version](const process_tests::client_call& call) {
        if (call.head.status == status_ok && version > this->accepted_configuration_version) {
            this->accepted_configuration_version = version;
            this->configuration_accepted_at = std::chrono::steady_clock::now();
        }
    });
}

void soak_clients::read_configuration() {
    http::request request;
    request.url = this->random_keeper() + "/kingcupcart/config/get";
    const bool must_be_current =
        std::chrono::steady_clock::now() - this->configuration_accepted_at > configuration_limit;
    const std::uint64_t expected_version =
        must_be_current ? this->accepted_configuration_version : 0;
    this->begin(request, [this, expected_version](const process_tests::client_call& call) {
        if (call.head.status != status_ok) {
            return;
        }
        const json response = json::parse(call.body, nullptr, false);
        if (!response.is_object() || response["version"] < expected_version) {
            this->report("a keeper returned an outdated configuration: expected version " +
                         std::to_string(expected_version) + ", got " + call.body.substr(0, 60));
        }
    });
}

void soak_clients::publish_weights() {
    const std::uint64_t version = this->sent_weights + 1;
    http::request request;
    request.method = "POST";
    request.url = this->random_keeper() + "/kingcupcart/version-put";
    request.content_type = "application/json";
    request.body = json{{"model", "m"}, {"version", version}}.dump();
    this->begin(request, [this, version](const process_tests::client_call& call) {
        if (call.head.status == status_ok) {
            this->sent_weights = std::max(this->sent_weights, version);
            this->published_weights = std::max(this->published_weights, version);
        }
    });
}

std::size_t soak_clients::run_count(const std::string& name) {
    std::size_t runs = 0;
    for (const auto& service : this->fleet.services()) {
        const auto& executed_request_ids = service.stand_in->executed_request_ids();
        runs += static_cast<std::size_t>(
            std::count(executed_request_ids.begin(), executed_request_ids.end(), name));
    }
    return runs;
}

void soak_clients::check_final_state() {
    // Pending requests may still be accepted.
    const time_point response_deadline = std::chrono::steady_clock::now() + response_limit;
    while (!this->pending_calls.empty() && std::chrono::steady_clock::now() < response_deadline) {
        this->test_deployment.wait(std::chrono::milliseconds(50));
        this->process_completed_calls();
    }
    if (!this->pending_calls.empty()) {
        this->report(std::to_string(this->pending_calls.size()) + " calls have no response");
    }
    this->pending_calls.clear();
    const time_point recovery_deadline = std::chrono::steady_clock::now() + recovery_limit;
    const auto is_complete = [this](const auto& item) {
        return !item.second.is_accepted || item.second.results.size() == item.second.items.size();
    };
    std::size_t served_before = this->served;
    while (std::chrono::steady_clock::now() < recovery_deadline &&
           !(std::all_of(this->jobs.begin(), this->jobs.end(), is_complete) &&
             this->served > served_before)) {
        for (const auto& [name, known_job] : this->jobs) {
            if (known_job.is_accepted && known_job.results.size() < known_job.items.size()) {
                this->read_results(name);
            }
        }
        this->send_booking(true);
        this->read_configuration();
        this->test_deployment.wait(std::chrono::milliseconds(200));
        this->process_completed_calls();
    }
    this->test_deployment.wait(std::chrono::milliseconds(500));
    this->process_completed_calls();
    for (const auto& [name, known_job] : this->jobs) {
        if (known_job.is_accepted && known_job.results.size() < known_job.items.size()) {
            this->report(name + " has " + std::to_string(known_job.results.size()) + " of " +
                         std::to_string(known_job.items.size()) + " results after recovery");
        }
    }
    if (this->served == served_before) {
        this->report("no request is served after recovery");
    }
    for (const auto& [name, status] : this->at_most_once_statuses) {
        const std::size_t runs = this->run_count(name);
        const bool is_refused = status == status_unavailable || status == status_too_many;
        if (runs > 1 || (runs > 0 && is_refused)) {
            this->report(name + " ran " + std::to_string(runs) + " times, response status " +
                         std::to_string(status));
        }
    }
}

std::string soak_clients::summary() const {
    const auto accepted = std::count_if(this->jobs.begin(), this->jobs.end(),
                                        [](const auto& item) { return item.second.is_accepted; });
    return "served=" + std::to_string(this->served) + " refused=" + std::to_string(this->refused) +
           " jobs=" + std::to_string(accepted) +
           " configurations=" + std::to_string(this->accepted_configuration_version) +
           " weights=" + std::to_string(this->published_weights) +
           " streams=" + std::to_string(this->streams_begun) + "/" +
           std::to_string(this->new_streams) +
           " take_ups=" + std::to_string(this->take_ups_going_on) + "/" +
           std::to_string(this->take_ups);
}

} // namespace kingcupcart::soak
