#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <vector>

namespace kingcupcart::settings {

/// How an instance finds the keepers of its deployment.
struct fleet_settings {
    /// Addresses of some keepers at their outer port; any of them may be down.
    std::vector<endpoint> seeds;
    /// Port of the links between instances, the same on all of them.
    std::uint16_t link_port = 0;

    [[nodiscard]] std::vector<endpoint> seed_links() const {
        std::vector<endpoint> links = this->seeds;
        for (endpoint& one : links) {
            one.port = this->link_port;
        }
        return links;
    }
};

} // namespace kingcupcart::settings
