#include "http/internal/connection.h"

#include "http/internal/read_coalescer.h"
#include "task/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <utility>

namespace kingcupcart::http {

namespace {

/// The kernel closes a connection whose peer acknowledges nothing for this time.
constexpr unsigned peer_timeout_ms = 3000;

boost::leaf::error_id fail_with(GError* problem) {
    std::string message = problem->message;
    const bool is_refused =
        g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
    g_error_free(problem);
    return fail(is_refused ? error_code::not_found : error_code::unavailable, std::move(message));
}

} // namespace

outcome<std::unique_ptr<connection>> connection::dial(const endpoint& peer) {
    const task::g_pointer<GSocketAddress> address(
        g_inet_socket_address_new_from_string(peer.address.c_str(), peer.port));
    if (!address) {
        return fail(error_code::invalid_input, "'" + peer.address + "' is not an IP address");
    }
    GError* problem = nullptr;
    task::g_pointer<GSocket> socket(g_socket_new(g_socket_address_get_family(address.get()),
                                                 G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                                 &problem));
    if (!socket) {
        return fail_with(problem);
    }
    g_socket_set_blocking(socket.get(), FALSE);
    task::set_peer_timeout(socket.get(), peer_timeout_ms);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    const gboolean is_connected = g_socket_connect(socket.get(), address.get(), nullptr, &problem);
    if (is_connected == FALSE) {
        if (g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_PENDING) == FALSE) {
            return fail_with(problem);
        }
        g_error_free(problem);
    }
    return std::unique_ptr<connection>(new connection(peer, std::move(socket)));
}

connection::connection(endpoint peer, task::g_pointer<GSocket> created)
    : remote(std::move(peer)),
      socket(std::move(created)),
      descriptor(g_socket_get_fd(this->socket.get())) {
    this->read_at_once();
}

connection::~connection() {
    if (this->coalescer) {
        this->coalescer->remove(this->descriptor, this->coalesced_number);
    }
}

void connection::set_handler(std::function<void()> on_ready) {
    this->handler = std::make_shared<const std::function<void()>>(std::move(on_ready));
}

void connection::call_handler() const {
    if (const auto current = this->handler) {
        (*current)();
    }
}

void connection::await_writable(bool is_awaited) {
    if (this->watch) {
        this->watch->await_writable(is_awaited);
    }
}

void connection::coalesce_reads(std::shared_ptr<read_coalescer> reads) {
    if (this->coalescer) {
        return;
    }
    this->watch.reset();
    this->coalescer = std::move(reads);
    this->coalesced_number =
        this->coalescer->add(this->descriptor, [this] { this->call_handler(); });
}

void connection::stop_reading() {
    this->watch.reset();
    if (this->coalescer) {
        this->coalescer->remove(this->descriptor, this->coalesced_number);
        this->coalescer.reset();
    }
}

void connection::read_at_once() {
    if (this->coalescer) {
        this->coalescer->remove(this->descriptor, this->coalesced_number);
        this->coalescer.reset();
    }
    if (!this->watch) {
        this->watch.emplace(this->descriptor, [this] { this->call_handler(); });
    }
}

bool connection::has_connected() const {
    return g_socket_condition_check(this->socket.get(), G_IO_OUT) != 0;
}

outcome<void> connection::finish_connecting() {
    GError* problem = nullptr;
    if (g_socket_check_connect_result(this->socket.get(), &problem) == FALSE) {
        return fail_with(problem);
    }
    return {};
}

connection::read_result connection::read() {
    // One buffer for all connections of a thread: its content is parsed before the next read.
    thread_local std::array<char, read_buffer_bytes> buffer;
    const ssize_t size = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
        return {read_status::data, {buffer.data(), static_cast<std::size_t>(size)}, ""};
    }
    if (size == 0) {
        return {read_status::closed_by_peer, {}, ""};
    }
    if (errno == EAGAIN || errno == EINTR) {
        return {};
    }
    return {errno == ECONNRESET ? read_status::reset_by_peer : read_status::failed,
            {},
            std::strerror(errno)};
}

outcome<std::size_t> connection::write(std::string_view bytes) {
    const ssize_t size =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size >= 0) {
        return static_cast<std::size_t>(size);
    }
    if (errno == EAGAIN || errno == EINTR) {
        return std::size_t{0};
    }
    return fail(error_code::unavailable, std::strerror(errno));
}

bool connection::has_input() const {
    char byte = 0;
    const ssize_t size = recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || errno != EAGAIN;
}

connection::send_state connection::sending() const {
    send_state state;
    int unacknowledged = 0;
    if (ioctl(this->descriptor, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged <= 0) {
        return state;
    }
    state.unacknowledged_bytes = static_cast<std::size_t>(unacknowledged);
    tcp_info info{};
    socklen_t size = sizeof(info);
    constexpr std::size_t needed_bytes =
        offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv);
    // A system that emulates sockets may lack the option, or leave the structure empty.
    if (getsockopt(this->descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < needed_bytes || info.tcpi_state == 0) {
        return state;
    }
    state.is_in_flight = info.tcpi_unacked > 0;
    state.since_acknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    return state;
}

} // namespace kingcupcart::http
