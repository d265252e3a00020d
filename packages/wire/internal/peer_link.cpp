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

constexpr std::size_t read_size = 64UL * 1024;
/// A connection attempt, and a peer's silence during the handshake, end after this long.
constexpr guint connect_limit_seconds = 2;
/// How often a link says that it lives, and how many such intervals it may be silent. Together well
/// above an election, and below the time in which users expect a cut to be noticed.
constexpr duration pulse_interval = std::chrono::milliseconds(500);
constexpr int silent_pulses_max = 4;
/// The kernel's own limit, a little above.
constexpr unsigned silence_limit_ms = 2500;

std::string take_message(GError* problem) {
    std::string message = problem->message;
    g_error_free(problem);
    return message;
}

} // namespace

/// Kept alive by each asynchronous operation under way; `is_over` makes their ends harmless.
class peer_link::state : public std::enable_shared_from_this<peer_link::state> {
public:
    explicit state(callbacks notify)
        : notify(std::move(notify)),
          cancellable(g_cancellable_new()),
          pulse([this] { this->beat(); }) {}

    void dial(const endpoint& remote) {
        this->make_engine(link_engine::side::client, remote.to_string());
        const task::g_pointer<GSocketClient> client(g_socket_client_new());
        // Instances reach each other directly; looking for a proxy needs a desktop's settings.
        g_socket_client_set_enable_proxy(client.get(), FALSE);
        g_socket_client_set_timeout(client.get(), connect_limit_seconds);
        const task::g_pointer<GSocketAddress> address(
            g_inet_socket_address_new_from_string(remote.address.c_str(), remote.port));
        g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(address.get()),
                                      this->cancellable.get(), &state::connected, this->hold());
    }

    void adopt(GSocketConnection* accepted) {
        this->make_engine(link_engine::side::server, "");
        this->connection = task::g_pointer<GSocketConnection>::share(accepted);
        this->begin();
    }

    bool send(const message& outgoing) {
        if (this->is_over || this->unsent.size() + this->writing.size() > backlog_limit) {
            return false;
        }
        const bool is_taken = this->engine->send(encode(outgoing));
        this->has_sent = true;
        this->flush();
        return is_taken;
    }

    void close() {
        if (!this->is_over && this->connection) {
            this->engine->close();
            this->flush();
        }
    }

    /// Ends the link without telling.
    void abandon() {
        this->is_over = true;
        this->pulse.disarm();
        g_cancellable_cancel(this->cancellable.get());
        if (this->connection && !this->is_writing) {
            g_io_stream_close(G_IO_STREAM(this->connection.get()), nullptr, nullptr);
        }
    }

    std::size_t sent = 0;
    std::size_t received = 0;

private:
    using holder = std::shared_ptr<state>;

    /// A reference for GLib's callback data; taken back by `release`.
    gpointer hold() { return new holder(this->shared_from_this()); }

    static holder release(gpointer data) {
        auto* held = static_cast<holder*>(data);
        holder kept = std::move(*held);
        delete held;
        return kept;
    }

    void make_engine(link_engine::side side, const std::string& authority) {
        link_engine::callbacks told;
        told.write = [this](const char* data, std::size_t size) {
            this->unsent.append(data, size);
        };
        told.opened = [this] {
            this->is_open = true;
            this->notify.opened();
        };
        told.received = [this](const std::string& bytes) { this->deliver(bytes); };
        told.closed = [this](const std::string& reason) { this->end_reason = reason; };
        this->engine = std::make_unique<link_engine>(side, authority, std::move(told));
    }

    void begin() {
        GSocket* socket = g_socket_connection_get_socket(this->connection.get());
        g_socket_set_timeout(socket, 0);
        g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
        task::limit_silence(socket, silence_limit_ms);
        this->pulse.arm(std::chrono::steady_clock::now() + pulse_interval);
        this->engine->start();
        this->flush();
        this->read_more();
    }

    /// Says that this side lives, and notices that the other one does not.
    void beat() {
        if (std::exchange(this->has_received, false)) {
            this->silent_pulses = 0;
        } else if (++this->silent_pulses > silent_pulses_max) {
            // The owner may let go of the link when it is told.
            const holder self = this->shared_from_this();
            this->end("silent");
            return;
        }
        if (!std::exchange(this->has_sent, false) && this->is_open) {
            this->engine->send(encode(keepalive{}));
            this->flush();
        }
        this->pulse.arm(std::chrono::steady_clock::now() + pulse_interval);
    }

    void deliver(const std::string& bytes) {
        if (this->is_over) {
            return;
        }
        auto decoded = value_or_error([&] { return decode(bytes); });
        if (auto* problem = std::get_if<error>(&decoded)) {
            this->end_reason = "malformed message: " + problem->message;
            return;
        }
        auto& said = std::get<message>(decoded);
        if (!std::holds_alternative<keepalive>(said)) {
            this->notify.received(std::move(said));
        }
    }

    void end(const std::string& reason) {
        if (this->is_over) {
            return;
        }
        this->abandon();
        const auto told = std::move(this->notify.closed);
        told(reason);
    }

    void end_if_asked() {
        if (!this->end_reason.empty()) {
            this->end(this->end_reason);
        }
    }

    void read_more() {
        GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(this->connection.get()));
        g_input_stream_read_async(input, this->buffer.data(), this->buffer.size(),
                                  G_PRIORITY_DEFAULT, this->cancellable.get(), &state::was_read,
                                  this->hold());
    }

    static void was_read(GObject* source, GAsyncResult* result, gpointer data) {
        const holder self = release(data);
        GError* problem = nullptr;
        const gssize size = g_input_stream_read_finish(G_INPUT_STREAM(source), result, &problem);
        if (size < 0) {
            const std::string message = take_message(problem);
            self->end(message);
            return;
        }
        if (self->is_over) {
            return;
        }
        if (size == 0) {
            self->engine->end_of_input();
            self->end(self->end_reason.empty() ? "closed by peer" : self->end_reason);
            return;
        }
        self->received += static_cast<std::size_t>(size);
        self->has_received = true;
        self->engine->read(self->buffer.data(), static_cast<std::size_t>(size));
        self->flush();
        self->end_if_asked();
        if (!self->is_over) {
            self->read_more();
        }
    }

    /// Hands what the engine wrote to the socket, one write at a time.
    void flush() {
        if (this->is_writing || this->unsent.empty() || this->is_over || !this->connection) {
            return;
        }
        this->is_writing = true;
        this->writing = std::exchange(this->unsent, {});
        GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(this->connection.get()));
        g_output_stream_write_all_async(output, this->writing.data(), this->writing.size(),
                                        G_PRIORITY_DEFAULT, this->cancellable.get(),
                                        &state::was_written, this->hold());
    }

    static void was_written(GObject* source, GAsyncResult* result, gpointer data) {
        const holder self = release(data);
        self->is_writing = false;
        GError* problem = nullptr;
        gsize size = 0;
        if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, &size, &problem)) {
            const std::string message = take_message(problem);
            self->end(message);
            return;
        }
        self->sent += size;
        self->writing.clear();
        self->flush();
    }

    static void connected(GObject* source, GAsyncResult* result, gpointer data) {
        const holder self = release(data);
        GError* problem = nullptr;
        task::g_pointer<GSocketConnection> made(
            g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &problem));
        if (!made) {
            const std::string message = take_message(problem);
            self->end(message);
            return;
        }
        if (self->is_over) {
            return;
        }
        self->connection = std::move(made);
        self->begin();
    }

    callbacks notify;
    task::g_pointer<GCancellable> cancellable;
    task::g_pointer<GSocketConnection> connection;
    std::unique_ptr<link_engine> engine;
    std::array<char, read_size> buffer{};
    std::string unsent;
    std::string writing;
    std::string end_reason;
    task::wakeup pulse;
    int silent_pulses = 0;
    bool has_received = false;
    bool has_sent = false;
    bool is_open = false;
    bool is_writing = false;
    bool is_over = false;
};

std::unique_ptr<peer_link> peer_link::dial(const endpoint& remote, callbacks notify) {
    auto made = std::make_shared<state>(std::move(notify));
    made->dial(remote);
    return std::unique_ptr<peer_link>(new peer_link(std::move(made)));
}

std::unique_ptr<peer_link> peer_link::accept(GSocketConnection* connection, callbacks notify) {
    auto made = std::make_shared<state>(std::move(notify));
    made->adopt(connection);
    return std::unique_ptr<peer_link>(new peer_link(std::move(made)));
}

peer_link::peer_link(std::shared_ptr<state> made) : self(std::move(made)) {}

peer_link::~peer_link() {
    this->self->abandon();
}

bool peer_link::send(const message& outgoing) {
    return this->self->send(outgoing);
}

void peer_link::close() {
    this->self->close();
}

std::size_t peer_link::bytes_sent() const {
    return this->self->sent;
}

std::size_t peer_link::bytes_received() const {
    return this->self->received;
}

} // namespace kingcupcart::wire
