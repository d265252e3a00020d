#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "wire/listener.h"

#include <memory>
#include <vector>

namespace kingcupcart::soak {

/// Stands between two processes on loopback and harms what passes, on the loop of the thread that
/// made it.
class loopback_proxy {
public:
    enum class harm {
        none,
        /// Every piece waits for `delay` first.
        delayed,
        /// What callers send does not arrive; nothing is reset.
        deaf,
        /// What the target answers does not arrive; nothing is reset.
        mute
    };

    static outcome<std::unique_ptr<loopback_proxy>> open(const endpoint& address,
                                                         const endpoint& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    [[nodiscard]] endpoint address() const;
    /// For what passes from now on, on open connections too.
    void set(harm wanted);
    /// Resets all connections.
    void reset();

    static constexpr duration delay = std::chrono::milliseconds(150);

private:
    class flow;
    explicit loopback_proxy(endpoint target);
    void accept(GSocketConnection* connection);

    endpoint target;
    harm now = harm::none;
    std::vector<std::shared_ptr<flow>> flows;
    std::unique_ptr<wire::listener> listener;
};

} // namespace kingcupcart::soak
