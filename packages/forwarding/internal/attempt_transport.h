#pragma once

#include "forwarding/internal/relayed_attempt.h"
#include "http/client.h"

#include <concepts>
#include <cstddef>
#include <memory>
#include <type_traits>
#include <utility>
#include <variant>

namespace kingcupcart::forwarding {

/// A call that an attempt consists of. Its destructor cancels it.
template <typename Candidate>
concept attempt_call = requires(Candidate& call, bool is_paused, std::size_t bytes) {
    { call.set_paused(is_paused) } -> std::same_as<void>;
    { call.set_held_bytes(bytes) } -> std::same_as<void>;
};

/// Holds the call that brings the response of an attempt: to a target, or to another gateway that
/// relays it.
template <attempt_call... Calls>
class basic_attempt_transport {
public:
    template <attempt_call Call>
    void set(std::unique_ptr<Call> call) {
        this->current = std::move(call);
    }
    /// Cancels the call.
    void reset() { this->current = std::monostate(); }
    void set_paused(bool is_paused) {
        this->with_call([&](auto& call) { call.set_paused(is_paused); });
    }
    void set_held_bytes(std::size_t bytes) {
        this->with_call([&](auto& call) { call.set_held_bytes(bytes); });
    }

private:
    template <typename Function>
    void with_call(const Function& function) {
        std::visit(
            [&](const auto& call) {
                if constexpr (!std::is_same_v<std::decay_t<decltype(call)>, std::monostate>) {
                    if (call) {
                        function(*call);
                    }
                }
            },
            this->current);
    }

    std::variant<std::monostate, std::unique_ptr<Calls>...> current;
};

using attempt_transport = basic_attempt_transport<http::client::call, relayed_attempt>;

} // namespace kingcupcart::forwarding
