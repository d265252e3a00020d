#include "routes/route_table.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace kingcupcart::routes {

outcome<void> route_table::check() const {
    std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
    for (const route& candidate : this->routes) {
        const std::string message_prefix = "route '" + candidate.name.value() + "': ";
        if (!hosts_and_prefixes.emplace(candidate.host, candidate.path_prefix).second) {
            return fail(error_code::invalid_input, message_prefix + "another route has host " +
                                                       candidate.host + " and prefix " +
                                                       candidate.path_prefix);
        }
        if (candidate.timeout <= duration::zero()) {
            return fail(error_code::invalid_input, message_prefix + "its timeout is not above 0");
        }
        std::uint64_t total_weight = 0;
        for (const service_share& share : candidate.shares) {
            if (this->find_service(share.service) == nullptr) {
                return fail(error_code::invalid_input, message_prefix + "service '" +
                                                           share.service.value() +
                                                           "' is not in the configuration");
            }
            total_weight += share.weight;
        }
        if (total_weight == 0) {
            return fail(error_code::invalid_input, message_prefix + "its weights add up to 0");
        }
    }
    return {};
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const route* best = nullptr;
    for (const route& candidate : this->routes) {
        const bool matches = candidate.host == host && path.starts_with(candidate.path_prefix);
        if (matches &&
            (best == nullptr || candidate.path_prefix.size() > best->path_prefix.size())) {
            best = &candidate;
        }
    }
    return best;
}

accounts::authorization route_table::authorize(const route& requested,
                                               const accounts::credentials& stated) const {
    const bool needs_key = !requested.is_public || requested.kind == route_kind::batch;
    return this->accounts.authorize(
        needs_key ? accounts::key_rule::required : accounts::key_rule::optional, stated);
}

int route_table::priority_of(const route& requested, const account_name& caller) const {
    return this->accounts.priority_of(caller, requested.priority);
}

const service* route_table::find_service(const backend_name& name) const {
    const auto found =
        std::find_if(this->services.begin(), this->services.end(),
                     [&](const service& candidate) { return candidate.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace kingcupcart::routes
