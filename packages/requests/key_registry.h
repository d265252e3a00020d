#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "requests/issued_key.h"
#include "requests/recorded_response.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace kingcupcart::requests {

/// State of a key when a request with it arrives.
enum class key_state {
    /// First use of the key: the request has to be run now.
    started,
    /// The same request is running; its response also answers this one.
    running,
    /// The response is recorded.
    finished,
    /// The key was used for a request with different content.
    mismatched,
    /// The key is so old that its outcome may have been deleted.
    expired,
    /// The memory for outcomes is exhausted; the request was not run.
    full
};

struct key_lookup {
    key_state state = key_state::expired;
    /// The request that is running, or whose response is recorded.
    request_id request;
    /// Set if the state is `finished`; valid until the next call that changes the registry.
    const recorded_response* response = nullptr;
};

/// Ensures that the owner of a key runs the key's request at most once. Keeps outcomes in memory
/// for at least `key_lifetime` after the first use of their key. A key that is unknown and was
/// issued or claimed that long ago counts as expired and is not run, so that deleting an outcome
/// cannot lead to a second run.
class key_registry {
public:
    key_registry(instance_id owner, incarnation_id incarnation, duration key_lifetime,
                 std::size_t bytes_limit);

    [[nodiscard]] issued_key issue(time_point now);

    /// Looks up the key, and registers the request if it is the first with this key. `fingerprint`
    /// is a hash of the request's content. `key_created` is when the key was issued, or claimed at
    /// the keepers.
    [[nodiscard]] key_lookup begin(const idempotency_key& key, std::uint64_t fingerprint,
                                   request_id request, time_point key_created, time_point now);
    /// Records the outcome. Replaces an earlier one, such as `unknown` when the response arrives
    /// later.
    void finish(const idempotency_key& key, recorded_response response);
    /// Deletes the key of a request that was abandoned before it ran; the key may be used again.
    void release(const idempotency_key& key);

    /// Whether this incarnation of this instance owns the key.
    [[nodiscard]] bool is_owner_of(const issued_key& key) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        std::uint64_t fingerprint = 0;
        request_id request;
        std::optional<recorded_response> response;
    };
    struct age_record {
        time_point expires;
        idempotency_key key;
    };

    void expire(time_point now);

    instance_id owner;
    incarnation_id incarnation;
    duration key_lifetime;
    std::size_t bytes_limit;
    std::size_t bytes = 0;
    std::uint64_t last_number = 0;
    std::unordered_map<idempotency_key, entry> entries;
    /// In order of expiry. An entry expires no earlier than its key.
    std::deque<age_record> by_age;
};

} // namespace kingcupcart::requests
