#include "process/dead_end.h"

#include "process/packet_filter.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace kingcupcart::process_tests {

namespace {

constexpr const char* ip = "127.0.0.5";

} // namespace

dead_end::dead_end(kind kind_of_end) : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip, &address.sin_addr);
    socklen_t size = sizeof address;
    auto* generic_address = reinterpret_cast<sockaddr*>(&address);
    // A port that is bound and not listened on stays free of other listeners, and refuses.
    if (bind(this->socket, generic_address, size) != 0 ||
        getsockname(this->socket, generic_address, &size) != 0 ||
        (kind_of_end == kind::hanging && listen(this->socket, 1) != 0)) {
        throw std::system_error(errno, std::generic_category(), ip);
    }
    if (kind_of_end == kind::hanging) {
        drop_received_packets(this->socket, true);
    }
    this->bound = {ip, ntohs(address.sin_port)};
}

dead_end::~dead_end() {
    close(this->socket);
}

} // namespace kingcupcart::process_tests
