#include "completions/completion_chunk.h"

#include "documents/parse_json.h"

#include <nlohmann/json.hpp>

namespace kingcupcart::completions {

namespace {

using nlohmann::json;

boost::leaf::error_id event_error(const std::string& message) {
    return fail(error_code::invalid_input, "engine event: " + message);
}

} // namespace

outcome<completion_chunk> parse_chunk(std::string_view data, completion_form form) {
    const json event = documents::parse_json_or_discard(data);
    if (!event.is_object()) {
        return event_error("must be a JSON object");
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->size() != 1 ||
        !choices->front().is_object()) {
        return event_error("'choices' must contain exactly one object");
    }
    const json& choice = choices->front();
    completion_chunk chunk;
    if (form == completion_form::text) {
        const auto text = choice.find("text");
        if (text == choice.end() || !text->is_string()) {
            return event_error("'text' must be a string");
        }
        chunk.text = text->get<std::string>();
    } else {
        const auto delta = choice.find("delta");
        if (delta == choice.end() || !delta->is_object()) {
            return event_error("'delta' must be an object");
        }
        const auto content = delta->find("content");
        if (content != delta->end() && content->is_string()) {
            chunk.text = content->get<std::string>();
        }
    }
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && reason->is_string()) {
        chunk.finish_reason = reason->get<std::string>();
    }
    const auto version = event.find("weight_version");
    if (version == event.end() || !version->is_number_unsigned()) {
        return event_error("'weight_version' must be a non-negative integer");
    }
    chunk.version = weight_version(version->get<std::uint64_t>());
    return chunk;
}

} // namespace kingcupcart::completions
