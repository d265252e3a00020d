#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "wire/listener.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace kingcupcart::process_tests {

/// A TCP proxy on loopback that injects faults into the connections through it. It runs on the
/// event loop of the thread that creates it.
class loopback_proxy {
public:
    enum class fault_mode {
        none,
        /// Forwards each piece of data after `delay`.
        delayed,
        /// Holds back data from callers until the mode changes; connections stay open.
        requests_stalled,
        /// Holds back data from the target until the mode changes; connections stay open.
        responses_stalled,
        /// Holds back data in both directions, and acknowledges nothing that callers send.
        silent
    };

    /// Listens at `address` and forwards each connection to `target`.
    static outcome<std::unique_ptr<loopback_proxy>> open(const endpoint& address,
                                                         const endpoint& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    [[nodiscard]] endpoint address() const;
    /// Applies to all data forwarded from now on, on open connections too.
    void set_fault_mode(fault_mode new_mode);
    /// Resets all connections (TCP RST); new ones are accepted as before.
    void reset();
    /// Pieces of data from callers that were forwarded to the target.
    [[nodiscard]] std::size_t forwarded_requests() const { return this->request_count; }

    static constexpr duration delay = std::chrono::milliseconds(150);

private:
    class proxied_connection;
    explicit loopback_proxy(endpoint target);
    void accept(GSocketConnection* accepted);

    endpoint target;
    fault_mode mode = fault_mode::none;
    std::size_t request_count = 0;
    std::vector<std::shared_ptr<proxied_connection>> connections;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::process_tests
