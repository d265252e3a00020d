#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "requests/issued_key.h"
#include "requests/recorded_answer.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

namespace kingcupcart::requests {

/// What is known of a key when a request with it comes.
enum class key_state {
    /// First use: run it now.
    started,
    /// The same request runs; its answer will serve this one too.
    running,
    /// The answer is known.
    finished,
    /// The key was used for another request.
    mismatched,
    /// The key is too old for its outcome to be known still.
    expired,
    /// No further outcome can be kept; nothing was run.
    full
};

struct key_lookup {
    key_state state = key_state::expired;
    /// The request that runs, or whose answer is known.
    request_id request;
    /// Set where the state is `finished`.
    const recorded_answer* answer = nullptr;
};

/// Runs each key at most once on its home instance. Outcomes are kept in memory for `key_lifetime`
/// after the key was issued or claimed; an older key is refused, never run, so that forgetting an
/// outcome cannot lead to a second run.
class key_registry {
public:
    key_registry(instance_id owner, incarnation_id incarnation, duration key_lifetime,
                 std::size_t bytes_limit);

    [[nodiscard]] issued_key issue(time_point now);

    /// `fingerprint` is a hash of the request's content. `born` is when the key was issued, or
    /// claimed at the keepers.
    [[nodiscard]] key_lookup begin(const idempotency_key& key, std::uint64_t fingerprint,
                                   request_id request, time_point created_at, time_point now);
    /// A later, better known outcome replaces an earlier one.
    void finish(const idempotency_key& key, recorded_answer answer);
    /// The key's request was given up before anything of it was run; the key may be used again.
    void release(const idempotency_key& key);

    /// Whether the key's home is this very incarnation.
    [[nodiscard]] bool is_owner_of(const issued_key& key) const;
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    struct entry {
        std::uint64_t fingerprint = 0;
        request_id request;
        std::optional<recorded_answer> answer;
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
    /// In order of first use; an entry outlives its key's validity.
    std::deque<age_record> by_age;
};

} // namespace kingcupcart::requests
