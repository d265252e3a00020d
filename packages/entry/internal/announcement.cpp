#include "entry/internal/announcement.h"

#include "base/endpoint.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>

namespace kingcupcart::entry {

namespace {

using nlohmann::json;

constexpr std::uint64_t slots_max = 100'000;

/// Reads members strictly; the first fault is kept.
class member_reader {
public:
    explicit member_reader(const json& object) : object(object) {}

    std::string text(const char* name) {
        const auto member = this->object.find(name);
        if (member == this->object.end() || !member->is_string() ||
            member->get<std::string>().empty()) {
            this->note(name, "must be a string that is not empty");
            return {};
        }
        return member->get<std::string>();
    }
    std::uint64_t number_or(const char* name, std::uint64_t fallback, std::uint64_t most) {
        const auto member = this->object.find(name);
        if (member == this->object.end()) {
            return fallback;
        }
        if (!member->is_number_unsigned() || member->get<std::uint64_t>() > most) {
            this->note(name, "must be a whole number up to " + std::to_string(most));
            return fallback;
        }
        return member->get<std::uint64_t>();
    }
    bool flag_or_false(const char* name) {
        const auto member = this->object.find(name);
        if (member != this->object.end() && !member->is_boolean()) {
            this->note(name, "must be true or false");
            return false;
        }
        return member != this->object.end() && member->get<bool>();
    }
    void note(const std::string& name, const std::string& message) {
        if (this->fault.empty()) {
            this->fault = "announcement: '" + name + "' " + message;
        }
    }
    [[nodiscard]] const std::string& first_fault() const { return this->fault; }

private:
    const json& object;
    std::string fault;
};

membership::target_kind read_kind(member_reader& members) {
    const std::string kind = members.text("kind");
    if (kind != "engine" && kind != "service") {
        members.note("kind", "must be engine or service");
    }
    return kind == "service" ? membership::target_kind::service : membership::target_kind::engine;
}

endpoint read_address(member_reader& members) {
    const std::string text = members.text("address");
    const auto parsed = value_or_error([&] { return parse_endpoint(text); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        members.note("address", "is wrong: " + problem->message);
        return {};
    }
    return std::get<endpoint>(parsed);
}

} // namespace

outcome<announcement> parse_announcement(std::string_view body, const location& here) {
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return fail(error_code::invalid_input, "announcement: is no JSON object");
    }
    constexpr std::uint64_t any = std::numeric_limits<std::uint64_t>::max();
    member_reader members(object);
    announcement read;
    membership::target_record& record = read.record;
    record.id = target_id(members.text("id"));
    record.kind = read_kind(members);
    record.backend = backend_name(members.text("backend"));
    record.address = read_address(members);
    record.place.domain = failure_domain_id(members.text("failure_domain"));
    record.place.region = region_id(members.text("region"));
    record.slots = static_cast<int>(members.number_or("slots", 1, slots_max));
    record.incarnation = incarnation_id(members.number_or("incarnation", 0, any));
    record.sequence = members.number_or("sequence", 0, any);
    record.leaving = members.flag_or_false("leaving");
    record.version = weight_version(members.number_or("weight_version", 0, any));
    read.load.id = record.id;
    read.load.running = static_cast<int>(members.number_or("running", 0, slots_max));
    read.load.waiting = static_cast<int>(members.number_or("waiting", 0, slots_max));
    const auto cached = object.find("cached");
    if (cached != object.end() && cached->is_array()) {
        for (const json& block : *cached) {
            if (!block.is_number_unsigned()) {
                members.note("cached", "must hold whole numbers");
                break;
            }
            read.cached.emplace_back(block.get<std::uint64_t>());
        }
    }
    if (!members.first_fault().empty()) {
        return fail(error_code::invalid_input, members.first_fault());
    }
    if (record.slots < 1) {
        return fail(error_code::invalid_input, "announcement: 'slots' must be at least 1");
    }
    if (record.place != here) {
        return fail(error_code::invalid_input,
                    "announcement: 'failure_domain' and 'region' are " +
                        record.place.domain.value() + " in " + record.place.region.value() +
                        ", but this instance serves " + here.domain.value() + " in " +
                        here.region.value());
    }
    return read;
}

} // namespace kingcupcart::entry
