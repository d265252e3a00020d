#include "admin/admin_server.h"

#include "documents/parse_json.h"
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
/// A response omits the components that have not reported within this time.
constexpr duration report_timeout = std::chrono::seconds(2);
constexpr duration order_timeout = std::chrono::seconds(10);
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
    state(admin_sources sources, task::sender<message> inbox)
        : sources(std::move(sources)),
          inbox(std::move(inbox)),
          timeout([this] { this->expire_pending(); }) {}

    void handle_request(std::unique_ptr<http::exchange> exchange) {
        const std::string path = exchange->path_without_query();
        const std::string method = exchange->method();
        if (path == "/healthz") {
            exchange->respond(status_ok, text_type, "ok\n");
        } else if (path == "/readyz" || path == "/metrics" || path == "/status") {
            this->request_reports(std::move(exchange), path);
        } else if (path == "/configuration" && method == "GET") {
            this->request_configuration(std::move(exchange));
        } else if (path == "/configuration" && method == "POST") {
            this->submit_order(std::move(exchange));
        } else {
            exchange->respond(status_not_found, json_type, error_body("no such path: " + path));
        }
    }

    void on(report_received received) {
        const auto found = this->pending.find(received.request_id);
        if (found == this->pending.end()) {
            return;
        }
        found->second.reports.push_back(std::move(received.content));
        if (found->second.reports.size() == this->sources.reports.size()) {
            this->respond_with_reports(found->second);
            this->pending.erase(found);
        }
    }

    void on(const order_result_received& received) {
        const auto found = this->pending.find(received.request_id);
        if (found == this->pending.end()) {
            return;
        }
        found->second.exchange->respond(received.result.status, json_type, received.result.body);
        this->pending.erase(found);
    }

    void on(const stop_started& /*started*/) { this->is_stopping = true; }

    std::unique_ptr<http::server> server;

private:
    struct pending_request {
        std::unique_ptr<http::exchange> exchange;
        std::string path;
        std::vector<report> reports;
        time_point deadline;
    };

    std::uint64_t add_pending(std::unique_ptr<http::exchange> exchange, const std::string& path,
                              duration max_wait) {
        const std::uint64_t request_id = ++this->last_request_id;
        exchange->on_disconnect([this, request_id] { this->pending.erase(request_id); });
        const time_point deadline = std::chrono::steady_clock::now() + max_wait;
        this->pending.emplace(request_id, pending_request{std::move(exchange), path, {}, deadline});
        this->arm_timeout();
        return request_id;
    }

    void request_reports(std::unique_ptr<http::exchange> exchange, const std::string& path) {
        const std::uint64_t request_id =
            this->add_pending(std::move(exchange), path, report_timeout);
        for (const auto& source : this->sources.reports) {
            source.post(report_request{
                task::sender<report>([inbox = this->inbox, request_id](report reply) {
                    return inbox.post(report_received{request_id, std::move(reply)});
                })});
        }
    }

    [[nodiscard]] task::sender<order_result> reply_to(std::uint64_t request_id) const {
        return task::sender<order_result>([inbox = this->inbox, request_id](order_result result) {
            return inbox.post(order_result_received{request_id, std::move(result)});
        });
    }

    void request_configuration(std::unique_ptr<http::exchange> exchange) {
        const std::uint64_t request_id =
            this->add_pending(std::move(exchange), "/configuration", order_timeout);
        if (!this->sources.configurations.post(configuration_request{this->reply_to(request_id)})) {
            this->respond_without_keeper(request_id);
        }
    }

    void submit_order(std::unique_ptr<http::exchange> exchange) {
        const json body = documents::parse_json_or_discard(exchange->body());
        const bool is_valid = body.is_object() && body.contains("order_id") &&
                              body["order_id"].is_string() && body.contains("base") &&
                              body["base"].is_number_unsigned() && body.contains("text") &&
                              body["text"].is_string();
        if (!is_valid) {
            exchange->respond(status_bad_request, json_type,
                              error_body("body must be a JSON object with the string 'order_id', "
                                         "the whole number 'base' and the string 'text'"));
            return;
        }
        configuration_order order;
        order.order_id = body["order_id"].get<std::string>();
        order.base = configuration_version(body["base"].get<std::uint64_t>());
        order.text = body["text"].get<std::string>();
        const std::uint64_t request_id =
            this->add_pending(std::move(exchange), "/configuration", order_timeout);
        order.reply = this->reply_to(request_id);
        if (!this->sources.orders.post(std::move(order))) {
            this->respond_without_keeper(request_id);
        }
    }

    void respond_without_keeper(std::uint64_t request_id) {
        const auto found = this->pending.find(request_id);
        found->second.exchange->respond(
            status_not_found, json_type,
            error_body("this instance has no keeper; send the request to a keeper"));
        this->pending.erase(found);
    }

    void respond_with_reports(pending_request& request) const {
        if (request.path == "/metrics") {
            std::string text;
            for (const report& received : request.reports) {
                text += received.metrics;
            }
            text += "kingcupcart_log_lines_left_out_total " +
                    std::to_string(telemetry::dropped_lines()) + "\n";
            request.exchange->respond(status_ok, text_type, text);
            return;
        }
        if (request.path == "/readyz") {
            bool is_ready =
                !this->is_stopping && request.reports.size() == this->sources.reports.size();
            for (const report& received : request.reports) {
                is_ready = is_ready && received.is_ready;
            }
            request.exchange->respond(is_ready ? status_ok : status_unavailable, text_type,
                                      is_ready ? "ready\n" : "not ready\n");
            return;
        }
        ordered_json status;
        for (const report& received : request.reports) {
            status[received.component] = ordered_json::parse(received.status, nullptr, false);
        }
        request.exchange->respond(status_ok, json_type, status.dump(2) + "\n");
    }

    void arm_timeout() {
        time_point next = time_point::max();
        for (const auto& [request_id, request] : this->pending) {
            next = std::min(next, request.deadline);
        }
        if (next != time_point::max()) {
            this->timeout.arm(next);
        }
    }

    void expire_pending() {
        const time_point now = std::chrono::steady_clock::now();
        for (auto entry = this->pending.begin(); entry != this->pending.end();) {
            if (entry->second.deadline > now) {
                ++entry;
                continue;
            }
            if (entry->second.path == "/configuration") {
                entry->second.exchange->respond(
                    status_gateway_timeout, json_type,
                    error_body("timed out: the change may or may not have been accepted; "
                               "retry with the same order_id"));
            } else {
                this->respond_with_reports(entry->second);
            }
            entry = this->pending.erase(entry);
        }
        this->arm_timeout();
    }

    admin_sources sources;
    task::sender<message> inbox;
    std::unordered_map<std::uint64_t, pending_request> pending;
    std::uint64_t last_request_id = 0;
    bool is_stopping = false;
    task::wakeup timeout;
};

outcome<std::unique_ptr<admin_server>>
admin_server::open(const endpoint& address, admin_sources sources, task::sender<message> inbox) {
    auto created = std::make_unique<state>(std::move(sources), std::move(inbox));
    BOOST_LEAF_ASSIGN(
        created->server,
        http::server::open(address, body_limit,
                           [state = created.get()](std::unique_ptr<http::exchange> exchange) {
                               state->handle_request(std::move(exchange));
                           }));
    return std::unique_ptr<admin_server>(new admin_server(std::move(created)));
}

admin_server::admin_server(std::unique_ptr<state> created) : impl(std::move(created)) {}

admin_server::~admin_server() = default;

void admin_server::handle(message incoming) {
    std::visit([this](auto& alternative) { this->impl->on(std::move(alternative)); }, incoming);
}

const endpoint& admin_server::address() const {
    return this->impl->server->address();
}

} // namespace kingcupcart::admin
