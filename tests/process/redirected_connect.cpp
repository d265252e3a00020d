// Preloaded into processes by tests: redirects their connections. The file that is named by
// KINGCUPCART_TEST_ROUTES holds a line "FROM TO" for each redirected destination; both are an IPv4
// address and a port, and the file is read at each call.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <string>

namespace {

using connect_function = int (*)(int, const sockaddr*, socklen_t);

std::string to_text(const sockaddr_in& address) {
    char ip[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
    return std::string(ip) + ":" + std::to_string(ntohs(address.sin_port));
}

void redirect(sockaddr_in& address) {
    const char* path = std::getenv("KINGCUPCART_TEST_ROUTES");
    std::ifstream routes(path == nullptr ? "" : path);
    const std::string destination = to_text(address);
    std::string from;
    std::string to;
    while (routes >> from >> to) {
        if (from == destination) {
            const auto colon = to.rfind(':');
            inet_pton(AF_INET, to.substr(0, colon).c_str(), &address.sin_addr);
            address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(to.substr(colon + 1))));
            return;
        }
    }
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
    static const auto next = reinterpret_cast<connect_function>(dlsym(RTLD_NEXT, "connect"));
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in)) {
        return next(socket, address, length);
    }
    sockaddr_in destination{};
    std::memcpy(&destination, address, sizeof destination);
    redirect(destination);
    return next(socket, reinterpret_cast<const sockaddr*>(&destination), sizeof destination);
}
