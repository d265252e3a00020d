#include "completions/completion_request.h"

#include "base/stable_hash.h"
#include "documents/parse_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kingcupcart::completions {

namespace {

using nlohmann::json;

constexpr std::size_t block_bytes = 256;
constexpr std::size_t max_blocks = 32;
constexpr std::int64_t max_tokens_limit = 1'000'000;

boost::leaf::error_id member_error(const std::string& member, const std::string& message) {
    return fail(error_code::invalid_input, "body: '" + member + "' " + message);
}

/// Returns one hash per prefix of the prompt that consists of complete blocks, shortest first.
std::vector<prefix_hash> hash_blocks(const std::string& prompt) {
    std::vector<prefix_hash> hashes;
    std::uint64_t hash = 0;
    const std::size_t blocks = std::min(prompt.size() / block_bytes, max_blocks);
    for (std::size_t i = 0; i < blocks; ++i) {
        const std::string_view block(prompt.data() + i * block_bytes, block_bytes);
        hash = stable_hash(block, hash);
        hashes.emplace_back(hash);
    }
    return hashes;
}

outcome<std::string> read_prompt(const json& body, completion_form form) {
    if (form == completion_form::text) {
        const auto prompt = body.find("prompt");
        if (prompt == body.end() || !prompt->is_string()) {
            return member_error("prompt", "must be a string");
        }
        return prompt->get<std::string>();
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return member_error("messages", "must be a non-empty array");
    }
    std::string prompt;
    for (const json& message : *messages) {
        const bool is_valid = message.is_object() && message.contains("role") &&
                              message["role"].is_string() && message.contains("content") &&
                              message["content"].is_string();
        if (!is_valid) {
            return member_error("messages",
                                "must contain objects with string members 'role' and 'content'");
        }
        prompt += message["role"].get<std::string>() + "\n" +
                  message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

} // namespace

outcome<completion_request> parse_request(std::string_view text, completion_form form) {
    const json body = documents::parse_json_or_discard(text);
    if (!body.is_object()) {
        return fail(error_code::invalid_input, "body: must be a JSON object");
    }
    completion_request request;
    request.form = form;
    request.original_body = text;
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get<std::string>().empty()) {
        return member_error("model", "must be a non-empty string");
    }
    request.model = backend_name(model->get<std::string>());
    const auto limit = body.find("max_tokens");
    if (limit != body.end() && (!limit->is_number_integer() || limit->get<std::int64_t>() < 1 ||
                                limit->get<std::int64_t>() > max_tokens_limit)) {
        return member_error("max_tokens", "must be an integer from 1 to 1000000");
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return member_error("stream", "must be true or false");
    }
    request.stream = stream != body.end() && stream->get<bool>();
    const auto count = body.find("n");
    if (count != body.end() && *count != 1) {
        return member_error("n", "must be 1; send a separate request for each completion");
    }
    BOOST_LEAF_AUTO(prompt, read_prompt(body, form));
    request.prefix = hash_blocks(prompt);
    return request;
}

std::string engine_request_body(const completion_request& request, tokens resume_after,
                                const std::string& resume_text) {
    json body = documents::parse_json_or_discard(request.original_body);
    body["stream"] = true;
    if (resume_after > tokens(0)) {
        body["resume"] = {{"tokens", resume_after.count()}, {"text", resume_text}};
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace kingcupcart::completions
