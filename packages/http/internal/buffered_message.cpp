#include "http/internal/buffered_message.h"

#include <spdlog/spdlog.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace kingcupcart::http {

buffered_message::buffered_message(SoupServerMessage* message, std::int64_t body_limit,
                                   const std::shared_ptr<caller_budget>& budget)
    : message(task::g_pointer<SoupServerMessage>::share(message)), body_limit(body_limit) {
    g_signal_connect(message, "got-chunk", G_CALLBACK(&buffered_message::got_chunk), this);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(&buffered_message::wrote_body_data),
                     this);
    if (budget) {
        this->share.emplace(budget,
                            caller_budget::share::caller{[this] { return this->moved_bytes(); },
                                                         [this](const std::string& reason) {
                                                             this->close_connection(reason);
                                                         }});
    }
}

buffered_message::~buffered_message() {
    g_signal_handlers_disconnect_by_data(this->message.get(), this);
}

void buffered_message::discard_body() {
    soup_message_body_set_accumulate(soup_server_message_get_request_body(this->message.get()),
                                     FALSE);
    this->receive_complete();
}

void buffered_message::receive_complete() {
    this->is_received = true;
    this->count_held();
}

void buffered_message::add_response(std::size_t bytes) {
    this->whole_bytes = bytes;
    this->add_stream_part(bytes);
}

void buffered_message::add_stream_part(std::size_t bytes) {
    this->unsent += bytes;
    this->added_bytes += static_cast<std::int64_t>(bytes);
    this->count_held();
}

void buffered_message::end() {
    this->has_ended = true;
    this->count_held();
}

void buffered_message::got_chunk(SoupServerMessage* message, GBytes* chunk, gpointer data) {
    auto* buffered = static_cast<buffered_message*>(data);
    buffered->received_bytes += static_cast<std::int64_t>(g_bytes_get_size(chunk));
    // A body of known length was checked before it was read.
    const bool is_chunked =
        soup_message_headers_get_encoding(soup_server_message_get_request_headers(message)) ==
        SOUP_ENCODING_CHUNKED;
    if (is_chunked && buffered->received_bytes > buffered->body_limit) {
        g_socket_close(soup_server_message_get_socket(message), nullptr);
    }
    buffered->count_held();
}

void buffered_message::wrote_body_data(SoupServerMessage* /*message*/, guint size, gpointer data) {
    auto* buffered = static_cast<buffered_message*>(data);
    buffered->unsent -= std::min(buffered->unsent, static_cast<std::size_t>(size));
    buffered->count_held();
}

void buffered_message::count_held() {
    if (this->share) {
        const std::size_t arriving =
            this->is_received ? 0 : static_cast<std::size_t>(this->received_bytes);
        const std::size_t sending =
            this->unsent > 0 ? std::max(this->unsent, this->whole_bytes) : 0;
        this->share->set(this->has_ended ? 0 : arriving + sending);
    }
}

std::int64_t buffered_message::moved_bytes() const {
    int unacknowledged = 0;
    GSocket* socket = soup_server_message_get_socket(this->message.get());
    if (socket == nullptr || ioctl(g_socket_get_fd(socket), SIOCOUTQ, &unacknowledged) != 0) {
        // The connection has ended, which libsoup is about to notice.
        unacknowledged = 0;
    }
    return this->received_bytes + this->added_bytes - static_cast<std::int64_t>(this->unsent) -
           unacknowledged;
}

void buffered_message::close_connection(const std::string& reason) {
    GUri* uri = soup_server_message_get_uri(this->message.get());
    const char* host = soup_server_message_get_remote_host(this->message.get());
    spdlog::warn("caller cut caller={} path={} held_bytes={} all_held_bytes={} idle_ms={} "
                 "reason=\"{}\"",
                 host == nullptr ? "" : host, uri == nullptr ? "" : g_uri_get_path(uri),
                 this->share->bytes(), this->share->owner().held_bytes(),
                 this->share->idle_time() / std::chrono::milliseconds(1), reason);
    GSocket* socket = soup_server_message_get_socket(this->message.get());
    if (socket == nullptr) {
        return;
    }
    // With this, what the system holds for the connection is discarded when libsoup closes it.
    const linger discard{1, 0};
    setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    // libsoup, which may wait for the socket in this moment, fails at its next write or read.
    g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

} // namespace kingcupcart::http
