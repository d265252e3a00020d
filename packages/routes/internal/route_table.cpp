#include "routes/route_table.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace kingcupcart::routes {

outcome<void> route_table::check() const {
    std::set<std::pair<std::string, std::string>> places;
    for (const route& one : this->routes) {
        const std::string at = "route '" + one.name.value() + "': ";
        if (!places.emplace(one.host, one.path_prefix).second) {
            return fail(error_code::invalid_input, at + "another route has host " + one.host +
                                                       " and prefix " + one.path_prefix);
        }
        if (one.timeout <= duration::zero()) {
            return fail(error_code::invalid_input, at + "its timeout is not above 0");
        }
        std::uint64_t weights = 0;
        for (const service_share& share : one.shares) {
            if (this->find_service(share.service) == nullptr) {
                return fail(error_code::invalid_input, at + "service '" + share.service.value() +
                                                           "' is not in the configuration");
            }
            weights += share.weight;
        }
        if (weights == 0) {
            return fail(error_code::invalid_input, at + "its weights add up to 0");
        }
    }
    return {};
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const route* best = nullptr;
    for (const route& one : this->routes) {
        const bool fits = one.host == host && path.starts_with(one.path_prefix);
        if (fits && (best == nullptr || one.path_prefix.size() > best->path_prefix.size())) {
            best = &one;
        }
    }
    return best;
}

const service* route_table::find_service(const backend_name& name) const {
    const auto found = std::find_if(this->services.begin(), this->services.end(),
                                    [&](const service& one) { return one.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace kingcupcart::routes
