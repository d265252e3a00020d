#include "entry/internal/announcement.h"

#include "base/endpoint.h"
#include "documents/parse_json.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>

namespace kingcupcart::entry {

namespace {

using nlohmann::json;

constexpr std::uint64_t max_slots = 100'000;

/// Reads members of a JSON object without type conversions; keeps the first error.
class member_reader {
public:
    explicit member_reader(const json& object) : object(object) {}

    std::string text(const char* name) {
        const auto member = this->object.find(name);
        if (member == this->object.end() || !member->is_string() ||
            member->get<std::string>().empty()) {
            this->report_error(name, "must be a non-empty string");
            return {};
        }
        return member->get<std::string>();
    }
    std::string text_or_empty(const char* name) {
        return this->object.contains(name) ? this->text(name) : std::string();
    }
    std::uint64_t number_or(const char* name, std::uint64_t fallback, std::uint64_t max_value) {
        const auto member = this->object.find(name);
        if (member == this->object.end()) {
            return fallback;
        }
        if (!member->is_number_unsigned() || member->get<std::uint64_t>() > max_value) {
            this->report_error(name, "must be an integer from 0 to " + std::to_string(max_value));
            return fallback;
        }
        return member->get<std::uint64_t>();
    }
    bool flag_or_false(const char* name) {
        const auto member = this->object.find(name);
        if (member != this->object.end() && !member->is_boolean()) {
            this->report_error(name, "must be true or false");
            return false;
        }
        return member != this->object.end() && member->get<bool>();
    }
    void report_error(const std::string& name, const std::string& message) {
        if (this->error_message.empty()) {
            this->error_message = "announcement: '" + name + "' " + message;
        }
    }
    [[nodiscard]] const std::string& first_error() const { return this->error_message; }

private:
    const json& object;
    std::string error_message;
};

membership::target_kind read_kind(member_reader& members) {
    const std::string kind = members.text("kind");
    if (kind != "engine" && kind != "service") {
        members.report_error("kind", "must be engine or service");
    }
    return kind == "service" ? membership::target_kind::service : membership::target_kind::engine;
}

endpoint read_address(member_reader& members) {
    const std::string text = members.text("address");
    const auto parsed = value_or_error([&] { return parse_endpoint(text); });
    if (const auto* failure = std::get_if<error>(&parsed)) {
        members.report_error("address", "is invalid: " + failure->message);
        return {};
    }
    return std::get<endpoint>(parsed);
}

} // namespace

outcome<announcement> parse_announcement(std::string_view body, const location& local_location) {
    const json object = documents::parse_json_or_discard(body);
    if (!object.is_object()) {
        return fail(error_code::invalid_input, "announcement: must be a JSON object");
    }
    constexpr std::uint64_t no_limit = std::numeric_limits<std::uint64_t>::max();
    member_reader members(object);
    announcement result;
    membership::target_record& record = result.record;
    record.id = target_id(members.text("id"));
    record.kind = read_kind(members);
    record.backend = backend_name(members.text("backend"));
    record.address = read_address(members);
    record.place.domain = failure_domain_id(members.text("failure_domain"));
    record.place.region = region_id(members.text("region"));
    record.slots = static_cast<int>(members.number_or("slots", 1, max_slots));
    record.incarnation = incarnation_id(members.number_or("incarnation", 0, no_limit));
    record.sequence = members.number_or("sequence", 0, no_limit);
    record.leaving = members.flag_or_false("leaving");
    record.version = weight_version(members.number_or("weight_version", 0, no_limit));
    record.software = software_version(members.text_or_empty("software_version"));
    result.load.id = record.id;
    result.load.running = static_cast<int>(members.number_or("running", 0, max_slots));
    result.load.waiting = static_cast<int>(members.number_or("waiting", 0, max_slots));
    const auto cached = object.find("cached");
    if (cached != object.end() && cached->is_array()) {
        for (const json& block : *cached) {
            if (!block.is_number_unsigned()) {
                members.report_error("cached", "must contain only non-negative integers");
                break;
            }
            result.cached.emplace_back(block.get<std::uint64_t>());
        }
    }
    if (!members.first_error().empty()) {
        return fail(error_code::invalid_input, members.first_error());
    }
    if (record.slots < 1) {
        return fail(error_code::invalid_input, "announcement: 'slots' must be at least 1");
    }
    if (record.place != local_location) {
        return fail(error_code::invalid_input,
                    "announcement: 'failure_domain' and 'region' are " +
                        record.place.domain.value() + " in " + record.place.region.value() +
                        ", but this instance serves " + local_location.domain.value() + " in " +
                        local_location.region.value());
    }
    return result;
}

} // namespace kingcupcart::entry
