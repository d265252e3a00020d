#include "stand_ins/announcer.h"

#include "base/incarnation.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kingcupcart::stand_ins {

announcer::announcer(target_options options, std::string kind,
                     std::function<int()> running_requests,
                     std::function<std::uint64_t()> weight_version)
    : options(std::move(options)),
      kind(std::move(kind)),
      running_requests(std::move(running_requests)),
      weight_version(std::move(weight_version)),
      incarnation(new_incarnation().value()),
      client(this->time),
      timer([this] { this->announce(); }) {}

announcer::~announcer() = default;

void announcer::start(const endpoint& target_address) {
    this->address = target_address;
    this->announce();
}

void announcer::leave() {
    this->leaving = true;
    this->announce_change();
}

void announcer::announce_change() {
    ++this->sequence;
    this->announce();
}

void announcer::announce() {
    if (this->options.entries.empty()) {
        return;
    }
    const endpoint entry = this->options.entries[this->next_entry % this->options.entries.size()];
    const nlohmann::json announcement{{"id", this->options.id},
                                      {"kind", this->kind},
                                      {"backend", this->options.backend},
                                      {"address", this->address.to_string()},
                                      {"failure_domain", this->options.domain},
                                      {"region", this->options.region},
                                      {"slots", this->options.slots},
                                      {"incarnation", this->incarnation},
                                      {"sequence", this->sequence},
                                      {"leaving", this->leaving},
                                      {"weight_version", this->weight_version()},
                                      {"running", this->running_requests()}};
    http::request post_request;
    post_request.method = "POST";
    post_request.url = "http://" + entry.to_string() + "/targets/announce";
    post_request.content_type = "application/json";
    post_request.body = announcement.dump();
    this->timer.arm(std::chrono::steady_clock::now() + this->options.announcement_interval);
    this->call = this->client.start(
        post_request, {[] {}, [](const http::response_head&) {}, [](std::string_view) {},
                       [this](http::call_result result, const std::string&) {
                           if (result != http::call_result::complete) {
                               ++this->next_entry;
                           }
                       }});
}

} // namespace kingcupcart::stand_ins
