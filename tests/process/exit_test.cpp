// Guards against a process that ends by signal 11: its log was closed while tasks still ran, and
// the next line that a task logged used a logger that was gone.
#include "process/deployment.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr int stops = 5;
/// Time for which the keeper logs before it is asked to stop.
constexpr duration logging_time = 300ms;
constexpr std::size_t connecting_threads = 4;

/// Opens connections to an address, one after the other in each of several threads, and violates
/// the inner protocol on each, which the instance logs.
class faulty_peers {
public:
    explicit faulty_peers(const std::string& address) {
        const auto separator = address.rfind(':');
        this->server.sin_family = AF_INET;
        this->server.sin_port =
            htons(static_cast<uint16_t>(std::stoi(address.substr(separator + 1))));
        inet_pton(AF_INET, address.substr(0, separator).c_str(), &this->server.sin_addr);
        for (std::thread& thread : this->threads) {
            thread = std::thread([this] {
                while (!this->is_stopping && this->connect_once()) {
                }
            });
        }
    }

    ~faulty_peers() {
        this->is_stopping = true;
        for (std::thread& thread : this->threads) {
            thread.join();
        }
    }

    faulty_peers(const faulty_peers&) = delete;
    faulty_peers& operator=(const faulty_peers&) = delete;

private:
    /// Returns false once the address refuses connections.
    bool connect_once() {
        constexpr std::string_view no_handshake = "no handshake\r\n\r\n";
        const int socket_number = socket(AF_INET, SOCK_STREAM, 0);
        const bool is_connected =
            connect(socket_number, reinterpret_cast<const sockaddr*>(&this->server),
                    sizeof(this->server)) == 0;
        if (is_connected) {
            static_cast<void>(
                send(socket_number, no_handshake.data(), no_handshake.size(), MSG_NOSIGNAL));
            std::array<char, 64> rest{};
            while (recv(socket_number, rest.data(), rest.size(), 0) > 0) {
            }
        }
        close(socket_number);
        return is_connected;
    }

    sockaddr_in server{};
    std::atomic<bool> is_stopping = false;
    std::array<std::thread, connecting_threads> threads;
};

} // namespace

SCENARIO("a planned stop ends the process in order while its tasks still log") {
    deployment test_deployment;
    const std::string address = free_address();
    GIVEN("a keeper whose log nobody reads, and whose peers break the protocol") {
        // Each log line contains the name, so that the unread lines fill the pipe.
        const std::string name(200, 'k');
        const std::string settings =
            "[instance]\nid = " + name +
            "\nfailure-domain = local\nregion = local\n"
            "roles = keeper\nadmin = 127.0.0.1:0\nstop-grace = 0s\n[keeper]\naddress = " +
            address + "\ndata = " + test_deployment.path_of("k1") +
            "\n[log]\nlevel = info\nstream = stdout\n";
        WHEN("it is asked to stop, again and again") {
            std::vector<int> exit_codes;
            for (int i = 0; i < stops; ++i) {
                child_process& keeper = test_deployment.add_process("keeper", settings);
                const faulty_peers peers(address);
                test_deployment.wait(logging_time);
                keeper.signal(SIGTERM);
                exit_codes.push_back(keeper.wait());
            }
            THEN("it exits without a signal each time") {
                for (const int code : exit_codes) {
                    CHECK(code == 0);
                }
            }
        }
    }
}
