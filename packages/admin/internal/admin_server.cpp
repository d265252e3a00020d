#include "admin/admin_server.h"

#include "http/exchange.h"
#include "http/server.h"
#include "task/wakeup.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <unordered_map>
#include <utility>

namespace kingcupcart::admin {

namespace {

using nlohmann::json;
using nlohmann::ordered_json;

constexpr std::int64_t body_limit = std::int64_t{4} * 1024 * 1024;
/// An answer is given without the parts that have not reported by then.
constexpr duration reply_limit = std::chrono::seconds(2);
constexpr duration order_limit = std::chrono::seconds(10);
constexpr const char* json_type = "application/json";
constexpr const char* text_type = "text/plain; charset=utf-8";

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

std::string error_body(const std::string& message) {
    return json{{"error", message}}.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

class admin_server::state {
public:
    state(admin_sources sources, task::sender<message> self)
        : sources(std::move(sources)), self(std::move(self)), limit([this] { this->expire(); }) {}

    void arrived(std::unique_ptr<http::exchange> exchange) {
        const std::string path = exchange->plain_path();
        const std::string method = exchange->method();
        if (path == "/healthz") {
            exchange->respond(status_ok, text_type, "ok\n");
        } else if (path == "/readyz" || path == "/metrics" || path == "/status") {
            this->ask_reports(std::move(exchange), path);
        } else if (path == "/configuration" && method == "GET") {
            this->ask_configuration(std::move(exchange));
        } else if (path == "/configuration" && method == "POST") {
            this->order(std::move(exchange));
        } else {
            exchange->respond(status_not_found, json_type, error_body("no such path: " + path));
        }
    }

    void on(report_came came) {
        const auto found = this->open.find(came.exchange);
        if (found == this->open.end()) {
            return;
        }
        found->second.reports.push_back(std::move(came.content));
        if (found->second.reports.size() == this->sources.reports.size()) {
            this->answer(found->second);
            this->open.erase(found);
        }
    }

    void on(const order_result_came& came) {
        const auto found = this->open.find(came.exchange);
        if (found == this->open.end()) {
            return;
        }
        found->second.exchange->respond(came.result.status, json_type, came.result.body);
        this->open.erase(found);
    }

    void on(const stop_began& /*began*/) { this->is_stopping = true; }

    std::unique_ptr<http::server> server;

private:
    struct open_exchange {
        std::unique_ptr<http::exchange> exchange;
        std::string path;
        std::vector<report> reports;
        time_point due;
    };

    std::uint64_t keep(std::unique_ptr<http::exchange> exchange, const std::string& path,
                       duration max_wait) {
        const std::uint64_t number = ++this->last_number;
        exchange->on_left([this, number] { this->open.erase(number); });
        const time_point due = std::chrono::steady_clock::now() + max_wait;
        this->open.emplace(number, open_exchange{std::move(exchange), path, {}, due});
        this->arm();
        return number;
    }

    void ask_reports(std::unique_ptr<http::exchange> exchange, const std::string& path) {
        const std::uint64_t number = this->keep(std::move(exchange), path, reply_limit);
        for (const auto& source : this->sources.reports) {
            source.post(
                report_request{task::sender<report>([self = this->self, number](report said) {
                    return self.post(report_came{number, std::move(said)});
                })});
        }
    }

    [[nodiscard]] task::sender<order_result> reply_to(std::uint64_t number) const {
        return task::sender<order_result>([self = this->self, number](order_result result) {
            return self.post(order_result_came{number, std::move(result)});
        });
    }

    void ask_configuration(std::unique_ptr<http::exchange> exchange) {
        const std::uint64_t number = this->keep(std::move(exchange), "/configuration", order_limit);
        if (!this->sources.configurations.post(configuration_request{this->reply_to(number)})) {
            this->refuse_without_keeper(number);
        }
    }

    void order(std::unique_ptr<http::exchange> exchange) {
        const json body = json::parse(exchange->body(), nullptr, false);
        const bool is_right = body.is_object() && body.contains("order_id") &&
                              body["order_id"].is_string() && body.contains("base") &&
                              body["base"].is_number_unsigned() && body.contains("text") &&
                              body["text"].is_string();
        if (!is_right) {
            exchange->respond(status_bad_request, json_type,
                              error_body("body must be a JSON object with the string 'order_id', "
                                         "the whole number 'base' and the string 'text'"));
            return;
        }
        configuration_order wanted;
        wanted.order_id = body["order_id"].get<std::string>();
        wanted.base = configuration_version(body["base"].get<std::uint64_t>());
        wanted.text = body["text"].get<std::string>();
        const std::uint64_t number = this->keep(std::move(exchange), "/configuration", order_limit);
        wanted.reply = this->reply_to(number);
        if (!this->sources.orders.post(std::move(wanted))) {
            this->refuse_without_keeper(number);
        }
    }

    void refuse_without_keeper(std::uint64_t number) {
        const auto found = this->open.find(number);
        found->second.exchange->respond(
            status_not_found, json_type,
            error_body("this instance has no keeper; ask one of the keepers"));
        this->open.erase(found);
    }

    void answer(open_exchange& asked) const {
        if (asked.path == "/metrics") {
            std::string text;
            for (const report& one : asked.reports) {
                text += one.metrics;
            }
            text += "kingcupcart_log_lines_left_out_total " +
                    std::to_string(telemetry::left_out_lines()) + "\n";
            asked.exchange->respond(status_ok, text_type, text);
            return;
        }
        if (asked.path == "/readyz") {
            bool is_ready =
                !this->is_stopping && asked.reports.size() == this->sources.reports.size();
            for (const report& one : asked.reports) {
                is_ready = is_ready && one.is_ready;
            }
            asked.exchange->respond(is_ready ? status_ok : status_unavailable, text_type,
                                    is_ready ? "ready\n" : "not ready\n");
            return;
        }
        ordered_json status;
        for (const report& one : asked.reports) {
            status[one.part] = ordered_json::parse(one.status, nullptr, false);
        }
        asked.exchange->respond(status_ok, json_type, status.dump(2) + "\n");
    }

    void arm() {
        time_point next = time_point::max();
        for (const auto& [number, asked] : this->open) {
            next = std::min(next, asked.due);
        }
        if (next != time_point::max()) {
            this->limit.arm(next);
        }
    }

    void expire() {
        const time_point now = std::chrono::steady_clock::now();
        for (auto item = this->open.begin(); item != this->open.end();) {
            if (item->second.due > now) {
                ++item;
                continue;
            }
            if (item->second.path == "/configuration") {
                item->second.exchange->respond(
                    status_gateway_timeout, json_type,
                    error_body("no answer in time: the order may or may not have been accepted; "
                               "send it again with the same order_id"));
            } else {
                this->answer(item->second);
            }
            item = this->open.erase(item);
        }
        this->arm();
    }

    admin_sources sources;
    task::sender<message> self;
    std::unordered_map<std::uint64_t, open_exchange> open;
    std::uint64_t last_number = 0;
    bool is_stopping = false;
    task::wakeup limit;
};

outcome<std::unique_ptr<admin_server>>
admin_server::open(const endpoint& address, admin_sources sources, task::sender<message> self) {
    auto made = std::make_unique<state>(std::move(sources), std::move(self));
    BOOST_LEAF_ASSIGN(made->server,
                      http::server::open(address, body_limit,
                                         [state = made.get()](std::unique_ptr<http::exchange> one) {
                                             state->arrived(std::move(one));
                                         }));
    return std::unique_ptr<admin_server>(new admin_server(std::move(made)));
}

admin_server::admin_server(std::unique_ptr<state> made) : self(std::move(made)) {}

admin_server::~admin_server() = default;

void admin_server::handle(message incoming) {
    std::visit([this](auto& alternative) { this->self->on(std::move(alternative)); }, incoming);
}

const endpoint& admin_server::address() const {
    return this->self->server->address();
}

} // namespace kingcupcart::admin
