#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "task/g_pointer.h"
#include "task/socket_watch.h"

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcupcart::http {

class read_coalescer;

/// A client's TCP connection. Its socket is non-blocking and watched on the event loop of the
/// thread that created it.
class connection {
public:
    enum class read_status { data, would_block, closed_by_peer, reset_by_peer, failed };
    struct read_result {
        read_status status = read_status::would_block;
        /// Valid until this thread reads again, from any connection.
        std::string_view data;
        std::string problem;
    };

    /// What the peer's kernel has acknowledged of the written bytes.
    struct send_state {
        /// 0 also if the system does not report it.
        std::size_t unacknowledged_bytes = 0;
        /// Whether some of these are on their way. If none are, the peer's receive window is full.
        bool is_in_flight = false;
        /// Time since the last acknowledgement; empty if the system reports the bytes alone.
        std::optional<duration> since_acknowledgement;
    };

    /// Bytes of one read at most.
    static constexpr std::size_t read_buffer_bytes = 64UL * 1024;

    /// Starts to connect; the connection becomes ready once that has succeeded or failed. Fails
    /// with `not_found` if the address refuses connections.
    static outcome<std::unique_ptr<connection>> dial(const endpoint& peer);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    [[nodiscard]] const endpoint& peer() const { return this->remote; }

    /// Sets the function that is called while the socket is readable, or writable if that is
    /// awaited, and after it failed. It may destroy the connection.
    void set_handler(std::function<void()> on_ready);
    void await_writable(bool is_awaited);
    /// From now on the handler is called once per interval of the coalescer while the socket is
    /// readable.
    void coalesce_reads(std::shared_ptr<read_coalescer> reads);
    /// Ends `coalesce_reads` and `stop_reading`.
    void read_at_once();
    /// Calls the handler no more, so that the kernel's buffer fills up and the peer has to wait.
    void stop_reading();

    /// Whether the attempt to connect has succeeded or failed.
    [[nodiscard]] bool has_connected() const;
    /// Fails if the connection could not be established, with `not_found` if the address refuses
    /// it.
    [[nodiscard]] outcome<void> finish_connecting();
    [[nodiscard]] read_result read();
    /// Returns the number of bytes that the socket accepted. Fails if it accepts none any more.
    [[nodiscard]] outcome<std::size_t> write(std::string_view bytes);
    /// Whether bytes have arrived that were not read, or the connection has ended.
    [[nodiscard]] bool has_input() const;
    [[nodiscard]] send_state sending() const;

private:
    connection(endpoint peer, task::g_pointer<GSocket> created);
    void call_handler() const;

    endpoint remote;
    task::g_pointer<GSocket> socket;
    int descriptor;
    /// Shared, because the handler may be replaced while it runs.
    std::shared_ptr<const std::function<void()>> handler;
    /// Empty while the coalescer watches the socket, or nothing does.
    std::optional<task::socket_watch> watch;
    std::shared_ptr<read_coalescer> coalescer;
    std::uint64_t coalesced_number = 0;
};

} // namespace kingcupcart::http
