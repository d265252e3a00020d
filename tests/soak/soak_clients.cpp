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
/// Once everything is whole, users expect service within this.
constexpr duration recovery_limit = std::chrono::seconds(15);
/// Callers wait no longer than this for an answer.
constexpr duration answer_limit = std::chrono::seconds(8);
/// From the acknowledgement of a job until every machine knows it.
constexpr duration settle_limit = std::chrono::seconds(1);
/// From the acknowledgement of a configuration until no machine answers an older one.
constexpr duration configuration_limit = std::chrono::milliseconds(2500);
constexpr std::size_t items_a_job = 6;

json configuration(std::uint64_t version) {
    json made = json::parse(R"({
        "routes": [
            {"name": "book", "host": "shop", "pathPrefix": "/b/", "type": "idempotent",
             "timeoutMs": 2000, "sloMs": 200, "service": "app", "maxAttempts": 3},
            {"name": "pay", "host": "shop", "pathPrefix": "/p/", "type": "non_idempotent",
             "timeoutMs": 2000, "sloMs": 200, "service": "app", "maxAttempts": 3},
            {"name": "drafts", "host": "shop", "pathPrefix": "/d/", "type": "rollout",
             "timeoutMs": 20000, "service": "lm", "maxAttempts": 5, "maxQueueS": 120,
             "dueMs": 7500, "resumable": true}],
        "services": [
            {"name": "app", "maxConns": 10},
            {"name": "lm", "maxConns": 10,
             "engine": {"slots": 4, "kvCapacity": 10000, "stride": 1, "models": [{"name": "m"}]}}],
        "limits": {}})");
    made["version"] = version;
    return made;
}

http::request to_shop(const std::string& method, const std::string& url) {
    http::request wanted;
    wanted.method = method;
    wanted.url = url;
    wanted.headers = {{"Host", "shop"}};
    return wanted;
}

std::string text_of(const std::string& item) {
    std::string text;
    for (int number = 1; number <= soak_fleet::engine_events; ++number) {
        text += (number == 1 ? "" : "\n") + stand_ins::platform_event(item, number);
    }
    return text;
}

} // namespace

soak_clients::soak_clients(process_tests::deployment& on, soak_fleet& fleet, std::uint64_t seed)
    : on(on), fleet(fleet), random(seed) {}

std::string soak_clients::some_gateway() {
    return this->fleet.callers_of(this->fleet.pick(soak_fleet::role::gateway, this->random()));
}

std::string soak_clients::some_keeper() {
    return this->fleet.control_of(this->fleet.pick(soak_fleet::role::keeper, this->random()));
}

void soak_clients::begin(const http::request& wanted,
                         std::function<void(const process_tests::caller&)> judge) {
    this->open.push_back({this->on.begin(wanted), std::move(judge)});
}

bool soak_clients::form(duration limit) {
    const time_point end = std::chrono::steady_clock::now() + limit;
    const auto takes_jobs = [this] {
        return std::any_of(this->jobs.begin(), this->jobs.end(),
                           [](const auto& item) { return item.second.is_accepted; });
    };
    while (std::chrono::steady_clock::now() < end) {
        if (this->accepted_version == 0) {
            this->put_configuration();
        } else if (this->served == 0) {
            this->book(true);
        } else if (!takes_jobs()) {
            this->submit("job" + std::to_string(++this->last_name));
        } else {
            return true;
        }
        this->on.wait(std::chrono::milliseconds(100));
        this->judge_ended();
    }
    return false;
}

void soak_clients::judge_ended() {
    std::vector<pending> over;
    for (pending& one : this->open) {
        if (one.call->is_over) {
            over.push_back(std::move(one));
        }
    }
    std::erase_if(this->open, [](const pending& one) { return one.call == nullptr; });
    for (const pending& one : over) {
        if (one.call->result == http::call_end::complete) {
            one.judge(*one.call);
        }
    }
}

void soak_clients::act() {
    constexpr std::uint64_t in_all = 100;
    const std::uint64_t draw = this->random() % in_all;
    if (draw < 40) {
        this->book(true);
    } else if (draw < 55) {
        this->book(false);
    } else if (draw < 62) {
        this->submit("job" + std::to_string(++this->last_name));
    } else if (draw < 92) {
        this->read_some_job();
    } else if (draw < 94) {
        this->put_configuration();
    } else if (draw < 99) {
        this->read_configuration();
    } else {
        this->name_weights();
    }
    this->judge_ended();
}

void soak_clients::book(bool is_repeatable) {
    const std::string name = (is_repeatable ? "book" : "pay") + std::to_string(++this->last_name);
    http::request wanted =
        to_shop("POST", this->some_gateway() + (is_repeatable ? "/b/1" : "/p/1"));
    wanted.headers.push_back({"X-Request-Id", name});
    wanted.headers.push_back({"X-Deadline-Ms", "2000"});
    wanted.body = "body of " + name;
    wanted.repeatable = false;
    if (!is_repeatable) {
        this->orders.emplace(name, 0);
    }
    this->begin(wanted, [this, name, is_repeatable](const process_tests::caller& call) {
        if (!is_repeatable) {
            this->orders[name] = call.head.status;
        }
        if (call.head.status != status_ok) {
            ++this->refused;
            return;
        }
        ++this->served;
        if (call.body != "ran body of " + name || call.header("X-Request-Id") != name) {
            this->report("request " + name + " got another answer: " + call.body);
        }
    });
}

void soak_clients::submit(const std::string& name) {
    job& made = this->jobs[name];
    made.oldest_version = this->named_weights > 1 ? this->named_weights - 1 : 1;
    json requests = json::array();
    for (std::size_t i = 0; i < items_a_job; ++i) {
        const std::string item = name + "-" + std::to_string(i);
        made.items.push_back(item);
        requests.push_back({{"id", item},
                            {"path", "/d/" + item},
                            {"headers", {{"X-Model", "m"}, {"X-Token-Count", "10,20"}}},
                            {"body", "AAEC"},
                            {"tokens", 30},
                            {"group", name + "-g" + std::to_string(i / 2)}});
    }
    http::request wanted = to_shop("POST", this->some_gateway() + "/d/" + name);
    wanted.headers.push_back({"X-Request-Id", name});
    wanted.content_type = "application/json";
    wanted.body = json{
        {"step", 0},
        {"model", "m"},
        {"minVersion", made.oldest_version},
        {"desired", made.items.size()},
        {"requests",
         requests}}.dump();
    this->begin(wanted, [this, name](const process_tests::caller& call) {
        if (call.head.status == status_accepted) {
            this->jobs[name].is_accepted = true;
            this->jobs[name].accepted = std::chrono::steady_clock::now();
        }
    });
}

void soak_clients::read_some_job() {
    std::vector<std::string> names;
    for (const auto& [name, one] : this->jobs) {
        if (one.is_accepted) {
            names.push_back(name);
        }
    }
    if (!names.empty()) {
        this->read(names[this->random() % names.size()]);
    }
}

void soak_clients::read(const std::string& name) {
    http::request wanted =
        to_shop("GET", this->some_gateway() + "/kingcupcart/lots/" + name + "?after=0");
    wanted.headers.push_back({"X-Wait-Ms", "300"});
    const time_point asked = std::chrono::steady_clock::now();
    this->begin(wanted, [this, name, asked](const process_tests::caller& call) {
        if (call.head.status == status_ok) {
            this->take_results(name, json::parse(call.body, nullptr, false));
        } else if (call.head.status == status_not_found &&
                   asked - this->jobs[name].accepted > settle_limit) {
            this->report(name + " was accepted, and is not found");
        }
    });
}

void soak_clients::take_results(const std::string& name, const json& said) {
    if (!said.is_object() || !said.contains("results")) {
        this->report(name + ": results can't be read");
        return;
    }
    job& known = this->jobs[name];
    const json& results = said["results"];
    for (std::size_t i = 0; i < results.size(); ++i) {
        if (i >= known.results.size()) {
            this->check_result(name, results[i]);
            known.results.push_back(results[i]);
        } else if (results[i] != known.results[i]) {
            this->report(name + " has another result at position " + std::to_string(i));
        }
    }
}

void soak_clients::check_result(const std::string& name, const json& result) {
    const job& known = this->jobs[name];
    const std::string item = result["id"];
    const auto same = [&](const json& other) { return other["id"] == item; };
    if (std::find(known.items.begin(), known.items.end(), item) == known.items.end()) {
        this->report(name + " lists " + item + " of another job");
    } else if (std::any_of(known.results.begin(), known.results.end(), same)) {
        this->report(name + " lists " + item + " twice");
    } else if (result["state"] != "completed") {
        this->report(item + " was given up");
    } else if (result["text"] != text_of(item)) {
        this->report(item + " has another text: " + result["text"].dump());
    } else {
        for (const json& version : result["versions"]) {
            const std::uint64_t one = version;
            const bool was_made =
                std::any_of(this->fleet.engines().begin(), this->fleet.engines().end(),
                            [&](const auto& engine) {
                                return engine.stand_in->versions_of(item).contains(one);
                            });
            if (!was_made || one < known.oldest_version) {
                this->report(item + " names version " + std::to_string(one));
            }
        }
    }
}

void soak_clients::put_configuration() {
    const std::uint64_t version = ++this->sent_version;
    http::request wanted;
    wanted.method = "POST";
    wanted.url = this->some_keeper() + "/kingcupcart/config/put";
    wanted.content_type = "application/json";
    wanted.body = configuration(version).dump();
    this->begin(wanted, [this, version](const process_tests::caller& call) {
        if (call.head.status == status_ok && version > this->accepted_version) {
            this->accepted_version = version;
            this->accepted_at = std::chrono::steady_clock::now();
        }
    });
}

void soak_clients::read_configuration() {
    http::request wanted;
    wanted.url = this->some_keeper() + "/kingcupcart/config/get";
    const bool is_settled =
        std::chrono::steady_clock::now() - this->accepted_at > configuration_limit;
    const std::uint64_t least = is_settled ? this->accepted_version : 0;
    this->begin(wanted, [this, least](const process_tests::caller& call) {
        if (call.head.status != status_ok) {
            return;
        }
        const json said = json::parse(call.body, nullptr, false);
        if (!said.is_object() || said["version"] < least) {
            this->report("a keeper answers an old configuration: wanted " + std::to_string(least) +
                         ", got " + call.body.substr(0, 60));
        }
    });
}

void soak_clients::name_weights() {
    const std::uint64_t version = this->sent_weights + 1;
    http::request wanted;
    wanted.method = "POST";
    wanted.url = this->some_keeper() + "/kingcupcart/version-put";
    wanted.content_type = "application/json";
    wanted.body = json{{"model", "m"}, {"version", version}}.dump();
    this->begin(wanted, [this, version](const process_tests::caller& call) {
        if (call.head.status == status_ok) {
            this->sent_weights = std::max(this->sent_weights, version);
            this->named_weights = std::max(this->named_weights, version);
        }
    });
}

std::size_t soak_clients::runs_of(const std::string& name) {
    std::size_t runs = 0;
    for (const auto& app : this->fleet.services()) {
        const auto& ran = app.stand_in->ran();
        runs += static_cast<std::size_t>(std::count(ran.begin(), ran.end(), name));
    }
    return runs;
}

void soak_clients::check_end() {
    // What was asked before may still be accepted.
    const time_point asked_until = std::chrono::steady_clock::now() + answer_limit;
    while (!this->open.empty() && std::chrono::steady_clock::now() < asked_until) {
        this->on.wait(std::chrono::milliseconds(50));
        this->judge_ended();
    }
    this->open.clear();
    const time_point end = std::chrono::steady_clock::now() + recovery_limit;
    const auto is_complete = [this](const auto& item) {
        return !item.second.is_accepted || item.second.results.size() == item.second.items.size();
    };
    std::size_t served_before = this->served;
    while (std::chrono::steady_clock::now() < end &&
           !(std::all_of(this->jobs.begin(), this->jobs.end(), is_complete) &&
             this->served > served_before)) {
        for (const auto& [name, one] : this->jobs) {
            if (one.is_accepted && one.results.size() < one.items.size()) {
                this->read(name);
            }
        }
        this->book(true);
        this->read_configuration();
        this->on.wait(std::chrono::milliseconds(200));
        this->judge_ended();
    }
    this->on.wait(std::chrono::milliseconds(500));
    this->judge_ended();
    for (const auto& [name, one] : this->jobs) {
        if (one.is_accepted && one.results.size() < one.items.size()) {
            this->report(name + " has " + std::to_string(one.results.size()) + " of " +
                         std::to_string(one.items.size()) + " results in the end");
        }
    }
    if (this->served == served_before) {
        this->report("nothing is served in the end");
    }
    for (const auto& [name, status] : this->orders) {
        const std::size_t runs = this->runs_of(name);
        const bool is_refused = status == status_unavailable || status == status_too_many;
        if (runs > 1 || (runs > 0 && is_refused)) {
            this->report(name + " ran " + std::to_string(runs) + " times, answer " +
                         std::to_string(status));
        }
    }
}

std::string soak_clients::summary() const {
    const auto accepted = std::count_if(this->jobs.begin(), this->jobs.end(),
                                        [](const auto& item) { return item.second.is_accepted; });
    return "served=" + std::to_string(this->served) + " refused=" + std::to_string(this->refused) +
           " jobs=" + std::to_string(accepted) +
           " configurations=" + std::to_string(this->accepted_version) +
           " weights=" + std::to_string(this->named_weights);
}

} // namespace kingcupcart::soak
