#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupcart {

/// A 128-bit hash that is equal for requests with the same method, route, path, caller and body.
/// Ids and idempotency keys are not included.
class request_fingerprint {
public:
    request_fingerprint() = default;
    constexpr request_fingerprint(std::uint64_t high, std::uint64_t low)
        : upper(high), lower(low) {}

    [[nodiscard]] constexpr std::uint64_t high() const { return this->upper; }
    [[nodiscard]] constexpr std::uint64_t low() const { return this->lower; }
    /// 32 hexadecimal digits.
    [[nodiscard]] std::string to_string() const;
    /// Parses the result of `to_string`; empty if the text is none.
    [[nodiscard]] static std::optional<request_fingerprint> parse(std::string_view text);

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;

private:
    std::uint64_t upper = 0;
    std::uint64_t lower = 0;
};

/// Returns the fingerprint of the parts in this order (XXH3), the same on every machine and in
/// every release. The lengths of the parts are included, so that moving a byte from one part to
/// the next changes the fingerprint.
[[nodiscard]] request_fingerprint make_fingerprint(std::initializer_list<std::string_view> parts);

} // namespace kingcupcart

template <>
struct std::hash<kingcupcart::request_fingerprint> {
    std::size_t operator()(const kingcupcart::request_fingerprint& value) const noexcept {
        return static_cast<std::size_t>(value.low());
    }
};
