#include "accounts/key_index.h"

#include <bit>
#include <cstring>
#include <functional>

namespace kingcupcart::accounts {

namespace {

using key_length = std::uint16_t;
static_assert(key_index::max_key_bytes <= UINT16_MAX);

constexpr std::size_t header_bytes = sizeof(std::uint32_t) + sizeof(key_length);
constexpr unsigned hash_shift = 32;

std::size_t hash_of(const std::string& key) {
    static_assert(sizeof(std::size_t) == sizeof(std::uint64_t));
    return std::hash<std::string>{}(key);
}

std::uint32_t upper_half(std::size_t hash) {
    return static_cast<std::uint32_t>(hash >> hash_shift);
}

} // namespace

key_index::key_index(std::size_t key_count, std::size_t key_bytes)
    : slots(std::bit_ceil(2 * key_count + 1)) {
    this->records.reserve(key_count * header_bytes + key_bytes);
}

void key_index::add(const api_key& key, std::uint32_t account) {
    const std::string& text = key.value();
    const std::size_t hash = hash_of(text);
    std::size_t position = hash & (this->slots.size() - 1);
    while (this->slots[position].record != 0) {
        position = this->next_slot(position);
    }
    this->slots[position] = {upper_half(hash),
                             static_cast<std::uint32_t>(this->records.size() + 1)};
    const auto length = static_cast<key_length>(text.size());
    char header[header_bytes];
    std::memcpy(header, &account, sizeof(account));
    std::memcpy(header + sizeof(account), &length, sizeof(length));
    this->records.append(header, header_bytes);
    this->records.append(text);
    ++this->count;
}

std::optional<std::uint32_t> key_index::find(const api_key& key) const {
    if (this->slots.empty()) {
        return std::nullopt;
    }
    const std::size_t hash = hash_of(key.value());
    std::size_t position = hash & (this->slots.size() - 1);
    while (this->slots[position].record != 0) {
        const slot& candidate = this->slots[position];
        const std::size_t record = candidate.record - 1;
        if (candidate.hash == upper_half(hash) && this->holds(record, key.value())) {
            std::uint32_t account = 0;
            std::memcpy(&account, this->records.data() + record, sizeof(account));
            return account;
        }
        position = this->next_slot(position);
    }
    return std::nullopt;
}

bool key_index::holds(std::size_t record, const std::string& key) const {
    const char* stored = this->records.data() + record + sizeof(std::uint32_t);
    key_length length = 0;
    std::memcpy(&length, stored, sizeof(length));
    return length == key.size() && std::memcmp(stored + sizeof(length), key.data(), length) == 0;
}

} // namespace kingcupcart::accounts
