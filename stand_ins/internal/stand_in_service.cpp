#include "stand_ins/stand_in_service.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace kingcupcart::stand_ins {

namespace {

constexpr std::int64_t body_limit = std::int64_t{16} * 1024 * 1024;
constexpr int status_ok = 200;

} // namespace

outcome<std::unique_ptr<stand_in_service>> stand_in_service::open(const service_options& options) {
    std::unique_ptr<stand_in_service> service(new stand_in_service(options));
    BOOST_LEAF_ASSIGN(
        service->server,
        http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                           [handler = service.get()](std::unique_ptr<http::exchange> exchange) {
                               handler->handle_request(std::move(exchange));
                           }));
    service->target_announcer.start(service->server->address());
    return service;
}

stand_in_service::stand_in_service(const service_options& options)
    : options(options),
      target_announcer(
          options.target, "service",
          [this] { return static_cast<int>(this->open_requests.size()); },
          [] { return std::uint64_t{0}; }) {}

stand_in_service::~stand_in_service() = default;

void stand_in_service::handle(message /*incoming*/) {
    this->target_announcer.leave();
}

void stand_in_service::handle_request(std::unique_ptr<http::exchange> exchange) {
    this->pending_deletion.clear();
    std::printf("run %s %s %s\n", exchange->method().c_str(), exchange->path().c_str(),
                exchange->body().c_str());
    std::fflush(stdout);
    const std::uint64_t request_number = ++this->last_request_number;
    open_request& added = this->open_requests[request_number];
    added.exchange = std::move(exchange);
    added.timer = std::make_unique<task::wakeup>(
        [this, request_number] { this->send_response(request_number); });
    added.timer->arm(std::chrono::steady_clock::now() + this->options.response_delay);
}

void stand_in_service::send_response(std::uint64_t request_number) {
    open_request& request = this->open_requests.at(request_number);
    const nlohmann::json body{{"service", this->options.target.id},
                              {"method", request.exchange->method()},
                              {"path", request.exchange->path()},
                              {"body", request.exchange->body()}};
    request.exchange->respond(status_ok, "application/json",
                              body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    this->pending_deletion.push_back(std::move(request.timer));
    this->open_requests.erase(request_number);
}

} // namespace kingcupcart::stand_ins
