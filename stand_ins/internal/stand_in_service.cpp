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
    std::unique_ptr<stand_in_service> made(new stand_in_service(options));
    BOOST_LEAF_ASSIGN(made->server,
                      http::server::open(endpoint{"127.0.0.1", 0}, body_limit,
                                         [self = made.get()](std::unique_ptr<http::exchange> one) {
                                             self->arrived(std::move(one));
                                         }));
    made->announcing.start(made->server->address());
    return made;
}

stand_in_service::stand_in_service(const service_options& options)
    : options(options),
      announcing(
          options.target, "service", [this] { return static_cast<int>(this->open_calls.size()); },
          [] { return std::uint64_t{0}; }) {}

stand_in_service::~stand_in_service() = default;

void stand_in_service::handle(message /*incoming*/) {
    this->announcing.leave();
}

void stand_in_service::arrived(std::unique_ptr<http::exchange> exchange) {
    this->retired.clear();
    std::printf("run %s %s %s\n", exchange->method().c_str(), exchange->path().c_str(),
                exchange->body().c_str());
    std::fflush(stdout);
    const std::uint64_t number = ++this->last_call;
    open_call& made = this->open_calls[number];
    made.exchange = std::move(exchange);
    made.timer = std::make_unique<task::wakeup>([this, number] { this->answer(number); });
    made.timer->arm(std::chrono::steady_clock::now() + this->options.delay);
}

void stand_in_service::answer(std::uint64_t number) {
    open_call& asked = this->open_calls.at(number);
    const nlohmann::json body{{"service", this->options.target.id},
                              {"method", asked.exchange->method()},
                              {"path", asked.exchange->path()},
                              {"body", asked.exchange->body()}};
    asked.exchange->respond(status_ok, "application/json",
                            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    this->retired.push_back(std::move(asked.timer));
    this->open_calls.erase(number);
}

} // namespace kingcupcart::stand_ins
