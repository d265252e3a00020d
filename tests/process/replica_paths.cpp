#include "process/replica_paths.h"

#include "base/outcome.h"

#include <filesystem>
#include <fstream>
#include <utility>
#include <variant>

namespace kingcupcart::process_tests {

std::string name_of(path_fault fault) {
    switch (fault) {
    case path_fault::hang:
        return "hang";
    case path_fault::refuse:
        return "refuse";
    case path_fault::refuse_and_silence:
        return "refuse and silence";
    case path_fault::reset_and_hang:
        return "reset and hang";
    case path_fault::reset_and_refuse:
        return "reset and refuse";
    case path_fault::one_way:
        return "one way";
    }
    return "?";
}

replica_paths::replica_paths(std::string routes_file)
    : routes_file(std::move(routes_file)),
      refusing(dead_end::kind::refusing),
      hanging(dead_end::kind::hanging) {}

std::vector<std::string> replica_paths::environment() const {
    return {"LD_PRELOAD=" REDIRECTED_CONNECT, "KINGCUPCART_TEST_ROUTES=" + this->routes_file};
}

void replica_paths::add(const endpoint& replica) {
    auto opened = value_or_error([&] {
        return loopback_proxy::open(endpoint{replica.address, 0}, replica);
    });
    this->proxies.emplace_back(replica,
                               std::move(std::get<std::unique_ptr<loopback_proxy>>(opened)));
    this->write_routes(nullptr);
}

void replica_paths::cut(path_fault fault) {
    using mode = loopback_proxy::fault_mode;
    const bool is_refused = fault == path_fault::refuse ||
                            fault == path_fault::refuse_and_silence ||
                            fault == path_fault::reset_and_refuse;
    this->write_routes(is_refused ? &this->refusing : &this->hanging);
    if (fault == path_fault::reset_and_hang || fault == path_fault::reset_and_refuse) {
        for (const auto& [replica, proxy] : this->proxies) {
            proxy->reset();
        }
    } else if (fault == path_fault::one_way) {
        this->set_fault_mode(mode::responses_stalled);
    } else if (fault != path_fault::refuse) {
        this->set_fault_mode(mode::silent);
    }
}

void replica_paths::heal() {
    this->write_routes(nullptr);
    this->set_fault_mode(loopback_proxy::fault_mode::none);
}

std::size_t replica_paths::forwarded_requests() const {
    std::size_t count = 0;
    for (const auto& [replica, proxy] : this->proxies) {
        count += proxy->forwarded_requests();
    }
    return count;
}

void replica_paths::set_fault_mode(loopback_proxy::fault_mode mode) {
    for (const auto& [replica, proxy] : this->proxies) {
        proxy->set_fault_mode(mode);
    }
}

void replica_paths::write_routes(const dead_end* end) const {
    // The process never reads a file that is half written.
    const std::string unfinished = this->routes_file + ".new";
    std::ofstream file(unfinished);
    for (const auto& [replica, proxy] : this->proxies) {
        file << replica.to_string() << ' '
             << (end == nullptr ? proxy->address() : end->address()).to_string() << '\n';
    }
    file.close();
    std::filesystem::rename(unfinished, this->routes_file);
}

} // namespace kingcupcart::process_tests
