#include "entry/internal/service_request.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace kingcupcart::entry {

namespace {

constexpr std::array excluded_headers{"connection",
                                      "keep-alive",
                                      "proxy-authenticate",
                                      "te",
                                      "proxy-authorization",
                                      "trailer",
                                      "transfer-encoding",
                                      "upgrade",
                                      "host",
                                      "content-length",
                                      "expect",
                                      "idempotency-key",
                                      "date",
                                      "server"};
constexpr const char* internal_prefix = "kingcupcart-";

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

} // namespace

std::uint64_t service_request::fingerprint() const {
    std::uint64_t hash = stable_hash(this->service.value());
    hash = stable_hash(this->method, hash);
    hash = stable_hash(this->path, hash);
    return stable_hash(this->body, hash);
}

std::vector<header_field> end_to_end_headers(const std::vector<header_field>& headers) {
    std::vector<header_field> result;
    for (const header_field& field : headers) {
        const std::string name = to_lower(field.name);
        const bool is_excluded = std::find(excluded_headers.begin(), excluded_headers.end(),
                                           name) != excluded_headers.end();
        if (!is_excluded && !name.starts_with(internal_prefix)) {
            result.push_back(field);
        }
    }
    return result;
}

} // namespace kingcupcart::entry
