#pragma once

#include "accounts/api_key.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::accounts {

/// The keys of all accounts, each with the position of its account. An open hash table over one
/// buffer of records, so that a look-up reads two cache lines, however many keys there are.
class key_index {
public:
    /// Limit of a key's length, in bytes.
    static constexpr std::size_t max_key_bytes = 256;

    /// An index without room, to which no key can be added.
    key_index() = default;
    /// An index with room for the keys of a list, whose lengths add up to `key_bytes`.
    key_index(std::size_t key_count, std::size_t key_bytes);

    /// Adds a key that is not in the index yet, of at most `max_key_bytes`.
    void add(const api_key& key, std::uint32_t account);
    /// The position of the account that the key belongs to.
    [[nodiscard]] std::optional<std::uint32_t> find(const api_key& key) const;
    [[nodiscard]] std::size_t size() const { return this->count; }

private:
    struct slot {
        /// Upper half of the key's hash.
        std::uint32_t hash = 0;
        /// Position of the record plus 1; 0 in an empty slot.
        std::uint32_t record = 0;
    };

    [[nodiscard]] std::size_t next_slot(std::size_t position) const {
        return (position + 1) & (this->slots.size() - 1);
    }
    [[nodiscard]] bool holds(std::size_t record, const std::string& key) const;

    /// Their number is a power of two, and at most half of them are used.
    std::vector<slot> slots;
    /// For each key the position of its account, its length and its bytes.
    std::string records;
    std::size_t count = 0;
};

} // namespace kingcupcart::accounts
