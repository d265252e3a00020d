#include "soak/loopback_proxy.h"

#include "task/g_pointer.h"
#include "task/wakeup.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace kingcupcart::soak {

/// One connection through the proxy: two pumps, ended together.
class loopback_proxy::flow : public std::enable_shared_from_this<flow> {
public:
    flow(const harm& now, GSocketConnection* accepted)
        : now(now),
          cancellable(g_cancellable_new()),
          caller(task::g_pointer<GSocketConnection>::share(accepted)),
          there(*this, harm::deaf),
          back(*this, harm::mute) {}

    void dial(const endpoint& to) {
        const task::g_pointer<GSocketClient> client(g_socket_client_new());
        g_socket_client_set_enable_proxy(client.get(), FALSE);
        const task::g_pointer<GSocketAddress> address(
            g_inet_socket_address_new_from_string(to.address.c_str(), to.port));
        g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(address.get()),
                                      this->cancellable.get(), &flow::connected, this->hold());
    }

    void harm_changed() {
        this->there.go_on();
        this->back.go_on();
    }

    void end(bool is_reset) {
        if (std::exchange(this->is_over, true)) {
            return;
        }
        g_cancellable_cancel(this->cancellable.get());
        for (GSocketConnection* one : {this->caller.get(), this->target.get()}) {
            if (one == nullptr) {
                continue;
            }
            if (is_reset) {
                const linger at_once{1, 0};
                setsockopt(g_socket_get_fd(g_socket_connection_get_socket(one)), SOL_SOCKET,
                           SO_LINGER, &at_once, sizeof at_once);
            }
            g_socket_close(g_socket_connection_get_socket(one), nullptr);
        }
    }

    bool is_over = false;

private:
    using holder = std::shared_ptr<flow>;

    /// One direction: reads a piece, waits as long as the harm wants, writes it.
    class pump {
    public:
        pump(flow& of, harm held_by) : of(of), held_by(held_by), later([this] { this->write(); }) {}

        void begin(GSocketConnection* from, GSocketConnection* to) {
            this->input = g_io_stream_get_input_stream(G_IO_STREAM(from));
            this->output = g_io_stream_get_output_stream(G_IO_STREAM(to));
            this->read();
        }
        void go_on() {
            if (std::exchange(this->is_held, false)) {
                this->pass();
            }
        }

    private:
        void read() {
            g_input_stream_read_async(
                this->input, this->buffer.data(), this->buffer.size(), G_PRIORITY_DEFAULT,
                this->of.cancellable.get(),
                [](GObject* source, GAsyncResult* result, gpointer data) {
                    const auto [kept, self] = release(data);
                    const gssize size =
                        g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
                    if (size <= 0) {
                        kept->end(false);
                    } else {
                        self->size = static_cast<std::size_t>(size);
                        self->pass();
                    }
                },
                this->hold());
        }
        void pass() {
            if (this->of.is_over) {
                return;
            }
            if (this->of.now == this->held_by) {
                this->is_held = true;
            } else if (this->of.now == harm::delayed) {
                this->later.arm(std::chrono::steady_clock::now() + delay);
            } else {
                this->write();
            }
        }
        void write() {
            if (this->of.is_over) {
                return;
            }
            g_output_stream_write_all_async(
                this->output, this->buffer.data(), this->size, G_PRIORITY_DEFAULT,
                this->of.cancellable.get(),
                [](GObject* source, GAsyncResult* result, gpointer data) {
                    const auto [kept, self] = release(data);
                    gsize written = 0;
                    if (g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, &written,
                                                         nullptr) == FALSE) {
                        kept->end(false);
                    } else if (!kept->is_over) {
                        self->read();
                    }
                },
                this->hold());
        }
        gpointer hold() { return new std::pair<holder, pump*>(this->of.shared_from_this(), this); }
        static std::pair<holder, pump*> release(gpointer data) {
            auto* held = static_cast<std::pair<holder, pump*>*>(data);
            auto kept = std::move(*held);
            delete held;
            return kept;
        }

        flow& of;
        harm held_by;
        GInputStream* input = nullptr;
        GOutputStream* output = nullptr;
        std::array<char, 16384> buffer{};
        std::size_t size = 0;
        bool is_held = false;
        task::wakeup later;
    };

    gpointer hold() { return new holder(this->shared_from_this()); }

    static void connected(GObject* source, GAsyncResult* result, gpointer data) {
        auto* held = static_cast<holder*>(data);
        const holder self = std::move(*held);
        delete held;
        task::g_pointer<GSocketConnection> made(
            g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr));
        if (!made || self->is_over) {
            self->end(true);
            return;
        }
        self->target = std::move(made);
        self->there.begin(self->caller.get(), self->target.get());
        self->back.begin(self->target.get(), self->caller.get());
    }

    const harm& now;
    task::g_pointer<GCancellable> cancellable;
    task::g_pointer<GSocketConnection> caller;
    task::g_pointer<GSocketConnection> target;
    pump there;
    pump back;
};

outcome<std::unique_ptr<loopback_proxy>> loopback_proxy::open(const endpoint& address,
                                                              const endpoint& target) {
    std::unique_ptr<loopback_proxy> made(new loopback_proxy(target));
    BOOST_LEAF_ASSIGN(made->listener,
                      wire::listener::open(address, [self = made.get()](GSocketConnection* one) {
                          self->accept(one);
                      }));
    return made;
}

loopback_proxy::loopback_proxy(endpoint target) : target(std::move(target)) {}

loopback_proxy::~loopback_proxy() {
    this->reset();
}

endpoint loopback_proxy::address() const {
    return this->listener->address();
}

void loopback_proxy::accept(GSocketConnection* connection) {
    std::erase_if(this->flows, [](const auto& one) { return one->is_over; });
    this->flows.push_back(std::make_shared<flow>(this->now, connection));
    this->flows.back()->dial(this->target);
}

void loopback_proxy::set(harm wanted) {
    this->now = wanted;
    for (const auto& one : this->flows) {
        one->harm_changed();
    }
}

void loopback_proxy::reset() {
    for (const auto& one : std::exchange(this->flows, {})) {
        one->end(true);
    }
}

} // namespace kingcupcart::soak
