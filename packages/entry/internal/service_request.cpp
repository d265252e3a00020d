#include "entry/internal/service_request.h"

#include "base/stable_hash.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace kingcupcart::entry {

namespace {

constexpr std::array hop_by_hop{"connection",
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
constexpr const char* own_prefix = "kingcupcart-";

std::string lowered(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

} // namespace

std::uint64_t service_request::fingerprint() const {
    std::uint64_t hash = stable_hash(this->service.value());
    hash = stable_hash(this->method, hash);
    hash = stable_hash(this->path, hash);
    return stable_hash(this->body, hash);
}

std::vector<header_field> end_to_end(const std::vector<header_field>& headers) {
    std::vector<header_field> kept;
    for (const header_field& field : headers) {
        const std::string name = lowered(field.name);
        const bool is_hop =
            std::find(hop_by_hop.begin(), hop_by_hop.end(), name) != hop_by_hop.end();
        if (!is_hop && !name.starts_with(own_prefix)) {
            kept.push_back(field);
        }
    }
    return kept;
}

} // namespace kingcupcart::entry
