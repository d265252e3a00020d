#include "process/loopback_proxy.h"

#include "process/packet_filter.h"
#include "task/g_pointer.h"
#include "task/wakeup.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace kingcupcart::process_tests {

/// One connection through the proxy: two pumps, closed together.
class loopback_proxy::proxied_connection : public std::enable_shared_from_this<proxied_connection> {
public:
    proxied_connection(const fault_mode& mode, std::size_t& request_count,
                       GSocketConnection* accepted)
        : mode(mode),
          request_count(request_count),
          cancellable(g_cancellable_new()),
          caller(task::g_pointer<GSocketConnection>::share(accepted)),
          upstream(*this, fault_mode::requests_stalled),
          downstream(*this, fault_mode::responses_stalled) {
        this->filter_packets();
    }

    void connect_to(const endpoint& destination) {
        const task::g_pointer<GSocketClient> client(g_socket_client_new());
        g_socket_client_set_enable_proxy(client.get(), FALSE);
        const task::g_pointer<GSocketAddress> address(
            g_inet_socket_address_new_from_string(destination.address.c_str(), destination.port));
        g_socket_client_connect_async(
            client.get(), G_SOCKET_CONNECTABLE(address.get()), this->cancellable.get(),
            &proxied_connection::handle_connected, this->make_user_data());
    }

    void apply_fault_mode() {
        this->filter_packets();
        this->upstream.resume();
        this->downstream.resume();
    }

    void close(bool is_reset) {
        if (std::exchange(this->is_closed, true)) {
            return;
        }
        g_cancellable_cancel(this->cancellable.get());
        for (GSocketConnection* connection : {this->caller.get(), this->target.get()}) {
            if (connection == nullptr) {
                continue;
            }
            if (is_reset) {
                const linger reset_on_close{1, 0};
                setsockopt(g_socket_get_fd(g_socket_connection_get_socket(connection)), SOL_SOCKET,
                           SO_LINGER, &reset_on_close, sizeof reset_on_close);
            }
            g_socket_close(g_socket_connection_get_socket(connection), nullptr);
        }
    }

    bool is_closed = false;

private:
    void filter_packets() {
        if (!this->is_closed) {
            drop_received_packets(
                g_socket_get_fd(g_socket_connection_get_socket(this->caller.get())),
                this->mode == fault_mode::silent);
        }
    }

    using connection_pointer = std::shared_ptr<proxied_connection>;

    /// One direction: reads a piece of data, delays it or holds it back, depending on the fault
    /// mode, and writes it. A piece of no bytes is the end, or the reset, of both sides.
    class pump {
    public:
        pump(proxied_connection& owner, fault_mode stalling_mode)
            : owner(owner), stalling_mode(stalling_mode), delay_timer([this] { this->write(); }) {}

        void start(GSocketConnection* from, GSocketConnection* destination) {
            this->input = g_io_stream_get_input_stream(G_IO_STREAM(from));
            this->output = g_io_stream_get_output_stream(G_IO_STREAM(destination));
            this->read();
        }
        void resume() {
            if (std::exchange(this->is_stalled, false)) {
                this->forward();
            }
        }

    private:
        void read() {
            g_input_stream_read_async(
                this->input, this->buffer.data(), this->buffer.size(), G_PRIORITY_DEFAULT,
                this->owner.cancellable.get(),
                [](GObject* source, GAsyncResult* result, gpointer data) {
                    const auto [connection, reader] = take_user_data(data);
                    const gssize size =
                        g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
                    reader->size = size > 0 ? static_cast<std::size_t>(size) : 0;
                    reader->is_reset = size < 0;
                    reader->forward();
                },
                this->make_user_data());
        }
        void forward() {
            if (this->owner.is_closed) {
                return;
            }
            if (this->owner.mode == this->stalling_mode || this->owner.mode == fault_mode::silent) {
                this->is_stalled = true;
            } else if (this->size == 0) {
                this->owner.close(this->is_reset);
            } else if (this->owner.mode == fault_mode::delayed) {
                this->delay_timer.arm(std::chrono::steady_clock::now() + delay);
            } else {
                this->write();
            }
        }
        void write() {
            if (this->owner.is_closed) {
                return;
            }
            if (this->stalling_mode == fault_mode::requests_stalled) {
                ++this->owner.request_count;
            }
            g_output_stream_write_all_async(
                this->output, this->buffer.data(), this->size, G_PRIORITY_DEFAULT,
                this->owner.cancellable.get(),
                [](GObject* source, GAsyncResult* result, gpointer data) {
                    const auto [connection, writer] = take_user_data(data);
                    gsize written = 0;
                    if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, &written,
                                                         nullptr) == FALSE) {
                        connection->close(false);
                    } else if (!connection->is_closed) {
                        writer->read();
                    }
                },
                this->make_user_data());
        }
        gpointer make_user_data() {
            return new std::pair<connection_pointer, pump*>(this->owner.shared_from_this(), this);
        }
        static std::pair<connection_pointer, pump*> take_user_data(gpointer data) {
            auto* user_data = static_cast<std::pair<connection_pointer, pump*>*>(data);
            auto taken = std::move(*user_data);
            delete user_data;
            return taken;
        }

        proxied_connection& owner;
        fault_mode stalling_mode;
        GInputStream* input = nullptr;
        GOutputStream* output = nullptr;
        std::array<char, 16384> buffer{};
        std::size_t size = 0;
        bool is_reset = false;
        bool is_stalled = false;
        task::wakeup delay_timer;
    };

    gpointer make_user_data() { return new connection_pointer(this->shared_from_this()); }

    static void handle_connected(GObject* source, GAsyncResult* result, gpointer data) {
        auto* user_data = static_cast<connection_pointer*>(data);
        const connection_pointer connection = std::move(*user_data);
        delete user_data;
        task::g_pointer<GSocketConnection> target_connection(
            g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr));
        if (!target_connection || connection->is_closed) {
            connection->close(true);
            return;
        }
        connection->target = std::move(target_connection);
        connection->upstream.start(connection->caller.get(), connection->target.get());
        connection->downstream.start(connection->target.get(), connection->caller.get());
    }

    const fault_mode& mode;
    std::size_t& request_count;
    task::g_pointer<GCancellable> cancellable;
    task::g_pointer<GSocketConnection> caller;
    task::g_pointer<GSocketConnection> target;
    pump upstream;
    pump downstream;
};

outcome<std::unique_ptr<loopback_proxy>> loopback_proxy::open(const endpoint& address,
                                                              const endpoint& target) {
    std::unique_ptr<loopback_proxy> created(new loopback_proxy(target));
    BOOST_LEAF_ASSIGN(created->listener,
                      wire::listener::open(address, [listening_proxy = created.get()](
                                                        GSocketConnection* connection) {
                          listening_proxy->accept(connection);
                      }));
    return created;
}

loopback_proxy::loopback_proxy(endpoint target) : target(std::move(target)) {}

loopback_proxy::~loopback_proxy() {
    this->reset();
}

endpoint loopback_proxy::address() const {
    return this->listener->address();
}

void loopback_proxy::accept(GSocketConnection* accepted) {
    std::erase_if(this->connections, [](const auto& connection) { return connection->is_closed; });
    this->connections.push_back(
        std::make_shared<proxied_connection>(this->mode, this->request_count, accepted));
    this->connections.back()->connect_to(this->target);
}

void loopback_proxy::set_fault_mode(fault_mode new_mode) {
    this->mode = new_mode;
    for (const auto& connection : this->connections) {
        connection->apply_fault_mode();
    }
}

void loopback_proxy::reset() {
    for (const auto& connection : std::exchange(this->connections, {})) {
        connection->close(true);
    }
}

} // namespace kingcupcart::process_tests
