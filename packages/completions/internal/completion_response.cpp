#include "completions/completion_response.h"

#include <nlohmann/json.hpp>

namespace kingcupcart::completions {

namespace {

using nlohmann::ordered_json;

const char* object_name(completion_form form, bool is_chunk) {
    if (form == completion_form::text) {
        return "text_completion";
    }
    return is_chunk ? "chat.completion.chunk" : "chat.completion";
}

std::string serialize(const ordered_json& value) {
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

ordered_json reason_or_null(const std::string& reason) {
    return reason.empty() ? ordered_json(nullptr) : ordered_json(reason);
}

} // namespace

void completion_response::add(const completion_chunk& chunk) {
    this->text += chunk.text;
    this->delivered_tokens += tokens(1);
    if (!chunk.finish_reason.empty()) {
        this->finish_reason = chunk.finish_reason;
    }
    if (this->versions.empty() || this->versions.back() != chunk.version) {
        this->versions.push_back(chunk.version);
    }
}

std::string format_response(const completion_request& request,
                            const completion_response& response) {
    ordered_json choice;
    choice["index"] = 0;
    if (request.form == completion_form::text) {
        choice["text"] = response.text;
    } else {
        choice["message"] = {{"role", "assistant"}, {"content", response.text}};
    }
    choice["finish_reason"] = reason_or_null(response.finish_reason);
    ordered_json versions = ordered_json::array();
    for (const weight_version version : response.versions) {
        versions.push_back(version.value());
    }
    ordered_json body;
    body["id"] = response.id;
    body["object"] = object_name(request.form, false);
    body["model"] = request.model.value();
    body["choices"] = ordered_json::array({choice});
    body["usage"] = {{"completion_tokens", response.delivered_tokens.count()}};
    body["weight_versions"] = versions;
    return serialize(body);
}

std::string format_event(const completion_request& request, const completion_response& response,
                         const completion_chunk& chunk) {
    ordered_json choice;
    choice["index"] = 0;
    if (request.form == completion_form::text) {
        choice["text"] = chunk.text;
    } else {
        choice["delta"] = {{"content", chunk.text}};
    }
    choice["finish_reason"] = reason_or_null(chunk.finish_reason);
    ordered_json event;
    event["id"] = response.id;
    event["object"] = object_name(request.form, true);
    event["model"] = request.model.value();
    event["choices"] = ordered_json::array({choice});
    event["weight_version"] = chunk.version.value();
    return "data: " + serialize(event) + "\n\n";
}

} // namespace kingcupcart::completions
