#include "requests/issued_key.h"

#include <charconv>

namespace kingcupcart::requests {

namespace {

constexpr std::string_view issued_key_prefix = "kc1.";

std::optional<std::uint64_t> parse_number(std::string_view& text) {
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto [stop, status] = std::from_chars(text.data(), text.data() + dot, number);
    if (status != std::errc{} || stop != text.data() + dot) {
        return std::nullopt;
    }
    text.remove_prefix(dot + 1);
    return number;
}

} // namespace

idempotency_key issued_key::to_idempotency_key() const {
    const auto microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(this->issued.time_since_epoch());
    return idempotency_key(std::string(issued_key_prefix) +
                           std::to_string(this->incarnation.value()) + "." +
                           std::to_string(this->number) + "." +
                           std::to_string(microseconds.count()) + "." + this->owner.value());
}

std::optional<issued_key> issued_key::parse(std::string_view text) {
    if (!text.starts_with(issued_key_prefix)) {
        return std::nullopt;
    }
    text.remove_prefix(issued_key_prefix.size());
    const auto incarnation = parse_number(text);
    const auto number = incarnation ? parse_number(text) : std::nullopt;
    const auto issued = number ? parse_number(text) : std::nullopt;
    if (!issued || text.empty()) {
        return std::nullopt;
    }
    issued_key key;
    key.owner = instance_id(std::string(text));
    key.incarnation = incarnation_id(*incarnation);
    key.number = *number;
    key.issued = time_point(std::chrono::microseconds(static_cast<std::int64_t>(*issued)));
    return key;
}

} // namespace kingcupcart::requests
