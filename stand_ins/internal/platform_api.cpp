#include "stand_ins/platform_api.h"

#include <nlohmann/json.hpp>

namespace kingcupcart::stand_ins {

namespace {

constexpr std::int64_t body_limit = std::int64_t{1024} * 1024;
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_too_many_requests = 429;

} // namespace

outcome<std::unique_ptr<platform_api>> platform_api::open(const endpoint& address) {
    auto created = std::make_unique<platform_api>();
    BOOST_LEAF_ASSIGN(
        created->server,
        http::server::open(address, body_limit,
                           [api = created.get()](std::unique_ptr<http::exchange> exchange) {
                               api->handle(std::move(exchange));
                           }));
    return created;
}

void platform_api::handle(std::unique_ptr<http::exchange> exchange) {
    ++this->calls;
    const auto body = nlohmann::json::parse(exchange->body(), nullptr, false);
    const std::string token = exchange->header("X-Fence-Token");
    if (!body.is_object() || token.empty()) {
        this->broken_rules.push_back("malformed call " + exchange->body());
        exchange->respond(status_bad_request, "text/plain", "");
        return;
    }
    this->holder = exchange->header("X-Lease-Holder");
    this->all_holders.insert(this->holder);
    const bool is_usage = exchange->path() == "/usage";
    this->check(is_usage ? "usage" : body["service"].dump() + body["zone"].dump(), this->holder,
                std::stoull(token));
    const std::uint64_t window = is_usage ? body["windowId"].get<std::uint64_t>() : 0;
    if (is_usage &&
        this->received.emplace(window, exchange->body()).first->second != exchange->body()) {
        this->broken_rules.push_back("other counts for window " + std::to_string(window));
    }
    switch (this->current) {
    case mode::accepting:
        if (is_usage) {
            this->accepted.emplace(window, exchange->body());
        } else {
            this->desired[{body["service"], body["zone"], body["spot"]}] = body["desired"];
        }
        exchange->respond(status_ok, "application/json", "{}");
        break;
    case mode::busy:
        exchange->respond(status_too_many_requests, "text/plain", "");
        break;
    case mode::silent:
        this->unanswered.push_back(std::move(exchange));
        break;
    case mode::resetting:
        break;
    }
}

void platform_api::check(const std::string& subject, const std::string& from, std::uint64_t fence) {
    auto& known = this->fences[subject];
    if (!known.empty() && fence < known.rbegin()->first) {
        this->broken_rules.push_back("lower fence " + std::to_string(fence) + " of " + from);
    }
    if (known.emplace(fence, from).first->second != from) {
        this->broken_rules.push_back("fence of another holder " + std::to_string(fence));
    }
}

} // namespace kingcupcart::stand_ins
