#include "wire/peer_link.h"

#include "task/g_pointer.h"
#include "task/socket_options.h"
#include "task/socket_watch.h"
#include "task/timer.h"
#include "wire/codec.h"
#include "wire/websocket_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

namespace kingcupcart::wire {

namespace {

constexpr std::size_t read_buffer_size = 64UL * 1024;
/// Memory that the write buffer of a link keeps while nothing is unsent. An instance has a link to
/// each other one, and few of them carry large messages at the same time.
constexpr std::size_t max_idle_buffer_bytes = 16UL * 1024;
/// Timeout of a TCP connection attempt. The keepalive check covers the handshake that follows.
constexpr guint connect_timeout_seconds = 2;
/// An idle link sends a keepalive once per interval. A link that receives nothing for more than
/// `max_silent_intervals` is closed. Together well above the duration of an election, and below the
/// time within which a network partition must be detected.
constexpr duration keepalive_interval = std::chrono::milliseconds(500);
constexpr int max_silent_intervals = 4;
/// The kernel's own timeout for an unresponsive peer, close to the limit of the keepalive check.
constexpr unsigned kernel_timeout_ms = 2500;

/// Returns the message of an error, and frees the error.
std::string consume_error_message(GError* problem) {
    std::string message = problem->message;
    g_error_free(problem);
    return message;
}

} // namespace

/// The implementation of a link. The pending connection attempt and each callback hold a reference
/// to it; they do nothing once `is_closed` is set.
class peer_link::state : public std::enable_shared_from_this<peer_link::state> {
public:
    explicit state(callbacks notify)
        : notify(std::move(notify)),
          cancellable(g_cancellable_new()),
          keepalive_timer([this] { this->check_peer(); }) {}

    void dial(const endpoint& remote) {
        this->create_session(websocket_session::side::client, remote.to_string());
        const task::g_pointer<GSocketClient> client(g_socket_client_new());
        // Instances reach each other directly. A proxy lookup would need a desktop's settings.
        g_socket_client_set_enable_proxy(client.get(), FALSE);
        g_socket_client_set_timeout(client.get(), connect_timeout_seconds);
        const task::g_pointer<GSocketAddress> address(
            g_inet_socket_address_new_from_string(remote.address.c_str(), remote.port));
        g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(address.get()),
                                      this->cancellable.get(), &state::on_connected,
                                      this->new_reference());
    }

    void attach(GSocketConnection* accepted) {
        this->create_session(websocket_session::side::server, "");
        this->connection = task::g_pointer<GSocketConnection>::share(accepted);
        this->start();
    }

    bool send(const message& outgoing) {
        if (this->is_closed || this->unsent.size() - this->written > max_unsent_bytes) {
            return false;
        }
        const bool is_accepted = this->session->send(encode(outgoing));
        this->sent_in_interval = true;
        this->flush();
        return is_accepted;
    }

    void close() {
        if (!this->is_closed && this->connection) {
            this->session->close();
            this->flush();
        }
    }

    /// Closes the link without notifying the owner.
    void close_silently() {
        this->is_closed = true;
        this->keepalive_timer.disarm();
        g_cancellable_cancel(this->cancellable.get());
        this->watch.reset();
        if (this->connection) {
            g_io_stream_close(G_IO_STREAM(this->connection.get()), nullptr, nullptr);
        }
    }

    time_point last_received_at{};
    std::size_t sent_bytes = 0;
    std::size_t received_bytes = 0;

private:
    using state_reference = std::shared_ptr<state>;

    /// Returns a new reference to this object as user data of a GLib callback, which must pass it
    /// to `release`.
    gpointer new_reference() { return new state_reference(this->shared_from_this()); }

    static state_reference release(gpointer link_reference) {
        auto* stored = static_cast<state_reference*>(link_reference);
        state_reference reference = std::move(*stored);
        delete stored;
        return reference;
    }

    void create_session(websocket_session::side side, const std::string& authority) {
        websocket_session::callbacks session_callbacks;
        session_callbacks.write = [this](const char* data, std::size_t size) {
            this->unsent.append(data, size);
        };
        session_callbacks.opened = [this] {
            this->is_open = true;
            this->notify.opened();
        };
        session_callbacks.received = [this](const std::string& bytes) { this->receive(bytes); };
        session_callbacks.closed = [this](const std::string& reason) {
            this->close_reason = reason;
        };
        this->session =
            std::make_unique<websocket_session>(side, authority, std::move(session_callbacks));
    }

    void start() {
        GSocket* socket = g_socket_connection_get_socket(this->connection.get());
        g_socket_set_timeout(socket, 0);
        g_socket_set_blocking(socket, FALSE);
        g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        task::set_peer_timeout(socket, kernel_timeout_ms);
        this->keepalive_timer.arm(std::chrono::steady_clock::now() + keepalive_interval);
        this->descriptor = g_socket_get_fd(socket);
        this->watch.emplace(this->descriptor, [this] { this->on_ready(); });
        this->session->start();
        this->flush();
    }

    /// Called once per keepalive interval. Closes the link if the peer is unresponsive, or else
    /// sends a keepalive if nothing else was sent during the interval.
    void check_peer() {
        if (!this->write_error.empty()) {
            const state_reference reference = this->shared_from_this();
            this->close_with(this->write_error);
            return;
        }
        if (std::exchange(this->received_in_interval, false)) {
            this->silent_intervals = 0;
        } else if (++this->silent_intervals > max_silent_intervals) {
            // The owner may destroy the link in its `closed` callback.
            const state_reference reference = this->shared_from_this();
            this->close_with("silent");
            return;
        }
        if (!std::exchange(this->sent_in_interval, false) && this->is_open) {
            this->session->send(encode(keepalive{}));
            this->flush();
        }
        this->keepalive_timer.arm(std::chrono::steady_clock::now() + keepalive_interval);
    }

    void receive(const std::string& bytes) {
        if (this->is_closed) {
            return;
        }
        auto decoded = value_or_error([&] { return decode(bytes); });
        if (auto* problem = std::get_if<error>(&decoded)) {
            this->close_reason = "malformed message: " + problem->message;
            return;
        }
        auto& incoming = std::get<message>(decoded);
        if (!std::holds_alternative<keepalive>(incoming)) {
            this->notify.received(std::move(incoming));
        }
    }

    void close_with(const std::string& reason) {
        if (this->is_closed) {
            return;
        }
        this->close_silently();
        const auto notify_closed = std::move(this->notify.closed);
        notify_closed(reason);
    }

    /// Closes the link if the session has ended or a message was malformed.
    void close_if_ended() {
        if (!this->close_reason.empty()) {
            this->close_with(this->close_reason);
        }
    }

    void on_ready() {
        // The owner may destroy the link in one of its callbacks.
        const state_reference reference = this->shared_from_this();
        this->flush();
        this->read();
    }

    void read() {
        // One buffer for all links of a thread: its content is processed before the next read.
        thread_local std::array<char, read_buffer_size> buffer;
        const ssize_t size = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                this->close_with(std::strerror(errno));
            }
            return;
        }
        if (size == 0) {
            this->session->end_of_input();
            this->close_with(this->close_reason.empty() ? "closed by peer" : this->close_reason);
            return;
        }
        this->received_bytes += static_cast<std::size_t>(size);
        this->received_in_interval = true;
        this->last_received_at = std::chrono::steady_clock::now();
        this->session->read(buffer.data(), static_cast<std::size_t>(size));
        this->flush();
        this->close_if_ended();
    }

    /// Writes as much of the session's pending output as the socket takes. The rest follows once it
    /// is writable. A failure closes the link in the event loop's next iteration, since the caller
    /// may be in the middle of a loop over its links.
    void flush() {
        if (this->is_closed || !this->watch || !this->write_error.empty()) {
            return;
        }
        while (this->written < this->unsent.size()) {
            const ssize_t size =
                ::send(this->descriptor, this->unsent.data() + this->written,
                       this->unsent.size() - this->written, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (size < 0 && errno != EINTR) {
                break;
            }
            const std::size_t progress = size < 0 ? 0 : static_cast<std::size_t>(size);
            this->written += progress;
            this->sent_bytes += progress;
        }
        const bool is_complete = this->written == this->unsent.size();
        if (!is_complete && errno != EAGAIN) {
            this->write_error = std::strerror(errno);
            this->keepalive_timer.arm(std::chrono::steady_clock::now());
            return;
        }
        this->unsent.erase(0, this->written);
        this->written = 0;
        if (is_complete && this->unsent.capacity() > max_idle_buffer_bytes) {
            this->unsent.shrink_to_fit();
        }
        this->watch->await_writable(!is_complete);
    }

    static void on_connected(GObject* source, GAsyncResult* result, gpointer link_reference) {
        const state_reference link = release(link_reference);
        GError* problem = nullptr;
        task::g_pointer<GSocketConnection> established(
            g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &problem));
        if (!established) {
            const std::string message = consume_error_message(problem);
            link->close_with(message);
            return;
        }
        if (link->is_closed) {
            return;
        }
        link->connection = std::move(established);
        link->start();
    }

    callbacks notify;
    task::g_pointer<GCancellable> cancellable;
    task::g_pointer<GSocketConnection> connection;
    std::unique_ptr<websocket_session> session;
    /// The socket of `connection`.
    int descriptor = -1;
    /// Set while the connection is open.
    std::optional<task::socket_watch> watch;
    std::string unsent;
    /// Number of bytes of `unsent` that have been written already.
    std::size_t written = 0;
    std::string write_error;
    std::string close_reason;
    task::timer keepalive_timer;
    int silent_intervals = 0;
    bool received_in_interval = false;
    bool sent_in_interval = false;
    bool is_open = false;
    bool is_closed = false;
};

std::unique_ptr<peer_link> peer_link::dial(const endpoint& remote, callbacks notify) {
    auto created = std::make_shared<state>(std::move(notify));
    created->dial(remote);
    return std::unique_ptr<peer_link>(new peer_link(std::move(created)));
}

std::unique_ptr<peer_link> peer_link::accept(GSocketConnection* connection, callbacks notify) {
    auto created = std::make_shared<state>(std::move(notify));
    created->attach(connection);
    return std::unique_ptr<peer_link>(new peer_link(std::move(created)));
}

peer_link::peer_link(std::shared_ptr<state> created) : impl(std::move(created)) {}

peer_link::~peer_link() {
    this->impl->close_silently();
}

bool peer_link::send(const message& outgoing) {
    return this->impl->send(outgoing);
}

void peer_link::close() {
    this->impl->close();
}

time_point peer_link::last_received_at() const {
    return this->impl->last_received_at;
}

std::size_t peer_link::bytes_sent() const {
    return this->impl->sent_bytes;
}

std::size_t peer_link::bytes_received() const {
    return this->impl->received_bytes;
}

} // namespace kingcupcart::wire
