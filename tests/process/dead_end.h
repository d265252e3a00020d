#pragma once

#include "base/endpoint.h"

namespace kingcupcart::process_tests {

/// A loopback address at which no connection can be opened.
class dead_end {
public:
    enum class kind {
        /// Connections are refused at once.
        refusing,
        /// Connections hang while they open: no packet is answered.
        hanging
    };

    /// Throws `std::system_error` if no address can be had.
    explicit dead_end(kind kind_of_end);
    ~dead_end();
    dead_end(const dead_end&) = delete;
    dead_end& operator=(const dead_end&) = delete;

    [[nodiscard]] const endpoint& address() const { return this->bound; }

private:
    int socket;
    endpoint bound;
};

} // namespace kingcupcart::process_tests
