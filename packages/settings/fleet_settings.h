#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <vector>

namespace kingcupcart::settings {

/// How an instance discovers the keepers of its deployment.
struct fleet_settings {
    /// Control addresses of some keepers; any of them may be down.
    std::vector<endpoint> seeds;
    /// Port of the links between instances; the same on all instances.
    std::uint16_t link_port = 0;

    /// The seeds' addresses for links between instances.
    [[nodiscard]] std::vector<endpoint> seed_links() const {
        std::vector<endpoint> links = this->seeds;
        for (endpoint& link : links) {
            link.port = this->link_port;
        }
        return links;
    }
};

} // namespace kingcupcart::settings
