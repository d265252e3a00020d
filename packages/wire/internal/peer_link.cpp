#include "wire/peer_link.h"

#include "task/g_pointer.h"
#include "task/socket_options.h"
#include "task/wakeup.h"
#include "wire/codec.h"
#include "wire/websocket_session.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <utility>

namespace kingcupcart::wire {

namespace {

constexpr std::size_t read_buffer_size = 64UL * 1024;
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

/// The implementation of a link. Each pending asynchronous operation holds a reference to it; their
/// completions do nothing once `is_closed` is set.
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
        if (this->is_closed ||
            this->unsent.size() + this->being_written.size() > max_unsent_bytes) {
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
        if (this->connection && !this->is_writing) {
            g_io_stream_close(G_IO_STREAM(this->connection.get()), nullptr, nullptr);
        }
    }

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
        g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        task::set_peer_timeout(socket, kernel_timeout_ms);
        this->keepalive_timer.arm(std::chrono::steady_clock::now() + keepalive_interval);
        this->session->start();
        this->flush();
        this->start_read();
    }

    /// Called once per keepalive interval. Closes the link if the peer is unresponsive, or else
    /// sends a keepalive if nothing else was sent during the interval.
    void check_peer() {
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

    void start_read() {
        GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(this->connection.get()));
        g_input_stream_read_async(input, this->buffer.data(), this->buffer.size(),
                                  G_PRIORITY_DEFAULT, this->cancellable.get(), &state::on_read,
                                  this->new_reference());
    }

    static void on_read(GObject* source, GAsyncResult* result, gpointer link_reference) {
        const state_reference link = release(link_reference);
        GError* problem = nullptr;
        const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &problem);
        if (size < 0) {
            const std::string message = consume_error_message(problem);
            link->close_with(message);
            return;
        }
        if (link->is_closed) {
            return;
        }
        if (size == 0) {
            link->session->end_of_input();
            link->close_with(link->close_reason.empty() ? "closed by peer" : link->close_reason);
            return;
        }
        link->received_bytes += static_cast<std::size_t>(size);
        link->received_in_interval = true;
        link->session->read(link->buffer.data(), static_cast<std::size_t>(size));
        link->flush();
        link->close_if_ended();
        if (!link->is_closed) {
            link->start_read();
        }
    }

    /// Writes the session's pending output to the connection, with one write in progress at a time.
    void flush() {
        if (this->is_writing || this->unsent.empty() || this->is_closed || !this->connection) {
            return;
        }
        this->is_writing = true;
        this->being_written = std::exchange(this->unsent, {});
        GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(this->connection.get()));
        g_output_stream_write_all_async(
            output, this->being_written.data(), this->being_written.size(), G_PRIORITY_DEFAULT,
            this->cancellable.get(), &state::on_written, this->new_reference());
    }

    static void on_written(GObject* source, GAsyncResult* result, gpointer link_reference) {
        const state_reference link = release(link_reference);
        link->is_writing = false;
        GError* problem = nullptr;
        gsize size = 0;
        if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, &size, &problem)) {
            const std::string message = consume_error_message(problem);
            link->close_with(message);
            return;
        }
        link->sent_bytes += size;
        link->being_written.clear();
        link->flush();
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
    std::array<char, read_buffer_size> buffer{};
    std::string unsent;
    std::string being_written;
    std::string close_reason;
    task::wakeup keepalive_timer;
    int silent_intervals = 0;
    bool received_in_interval = false;
    bool sent_in_interval = false;
    bool is_open = false;
    bool is_writing = false;
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

std::size_t peer_link::bytes_sent() const {
    return this->impl->sent_bytes;
}

std::size_t peer_link::bytes_received() const {
    return this->impl->received_bytes;
}

} // namespace kingcupcart::wire
