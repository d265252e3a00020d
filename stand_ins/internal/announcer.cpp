#include "stand_ins/announcer.h"

#include "base/incarnation.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kingcupcart::stand_ins {

announcer::announcer(target_options options, std::string kind, std::function<int()> load,
                     std::function<std::uint64_t()> version)
    : options(std::move(options)),
      kind(std::move(kind)),
      load(std::move(load)),
      version(std::move(version)),
      incarnation(new_incarnation().value()),
      timer([this] { this->announce(); }) {}

announcer::~announcer() = default;

void announcer::start(const endpoint& where) {
    this->address = where;
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
    const nlohmann::json said{{"id", this->options.id},
                              {"kind", this->kind},
                              {"backend", this->options.backend},
                              {"address", this->address.to_string()},
                              {"failure_domain", this->options.domain},
                              {"region", this->options.region},
                              {"slots", this->options.slots},
                              {"incarnation", this->incarnation},
                              {"sequence", this->sequence},
                              {"leaving", this->leaving},
                              {"weight_version", this->version()},
                              {"running", this->load()}};
    http::request wanted;
    wanted.method = "POST";
    wanted.url = "http://" + entry.to_string() + "/targets/announce";
    wanted.content_type = "application/json";
    wanted.body = said.dump();
    this->timer.arm(std::chrono::steady_clock::now() + this->options.announce_interval);
    this->call =
        this->client.start(wanted, {[] {}, [](const http::answer_head&) {}, [](std::string_view) {},
                                    [this](http::call_end how, const std::string&) {
                                        if (how != http::call_end::complete) {
                                            ++this->next_entry;
                                        }
                                    }});
}

} // namespace kingcupcart::stand_ins
