#pragma once

#include "base/endpoint.h"
#include "process/dead_end.h"
#include "process/loopback_proxy.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcupcart::process_tests {

/// How a gateway's connections to replicas fail.
enum class path_fault {
    /// Open connections are silent, new ones hang while they open.
    hang,
    /// Open connections live on, new ones are refused.
    refuse,
    /// Open connections are silent, new ones are refused.
    refuse_and_silence,
    /// Open connections are reset, new ones hang while they open.
    reset_and_hang,
    /// Open connections are reset, new ones are refused.
    reset_and_refuse,
    /// Requests arrive on open connections and responses don't; new connections hang while they
    /// open. Requests are acknowledged, which they would not be on a link that loses the packets of
    /// one direction.
    one_way
};

inline constexpr std::array<path_fault, 6> path_faults = {
    path_fault::hang,           path_fault::refuse,           path_fault::refuse_and_silence,
    path_fault::reset_and_hang, path_fault::reset_and_refuse, path_fault::one_way};

[[nodiscard]] std::string name_of(path_fault fault);

/// The paths of one gateway process to replicas, which lead through proxies of its own, so that
/// this gateway alone can be cut off from them.
class replica_paths {
public:
    /// `routes_file` is where the process reads where its connections go.
    explicit replica_paths(std::string routes_file);

    /// The environment variables with which the process is to be started.
    [[nodiscard]] std::vector<std::string> environment() const;
    /// Connections that the process opens to the replica from now on go through a proxy.
    void add(const endpoint& replica);
    /// Cuts all paths, until `heal`.
    void cut(path_fault fault);
    void heal();
    /// Pieces of requests that were forwarded to replicas.
    [[nodiscard]] std::size_t forwarded_requests() const;

private:
    void set_fault_mode(loopback_proxy::fault_mode mode);
    /// All new connections go to `end`; those of each replica to its proxy if it is null.
    void write_routes(const dead_end* end) const;

    std::string routes_file;
    dead_end refusing;
    dead_end hanging;
    /// By the address of the replica.
    std::vector<std::pair<endpoint, std::unique_ptr<loopback_proxy>>> proxies;
};

} // namespace kingcupcart::process_tests
