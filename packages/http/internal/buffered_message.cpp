#include "http/internal/buffered_message.h"

#include <spdlog/spdlog.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>

namespace kingcupcart::http {

buffered_message::buffered_message(SoupServerMessage* message,
                                   const std::shared_ptr<caller_budget>& budget)
    : message(task::g_pointer<SoupServerMessage>::share(message)) {
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

void buffered_message::wrote_body_data(SoupServerMessage* /*message*/, guint size, gpointer data) {
    auto* buffered = static_cast<buffered_message*>(data);
    buffered->unsent -= std::min(buffered->unsent, static_cast<std::size_t>(size));
    buffered->count_held();
}

void buffered_message::count_held() {
    if (this->share) {
        const bool is_held = this->unsent > 0 && !this->has_ended;
        this->share->set(is_held ? std::max(this->unsent, this->whole_bytes) : 0);
    }
}

std::int64_t buffered_message::moved_bytes() const {
    int unacknowledged = 0;
    GSocket* socket = soup_server_message_get_socket(this->message.get());
    if (socket == nullptr || ioctl(g_socket_get_fd(socket), SIOCOUTQ, &unacknowledged) != 0) {
        // The connection has ended, which libsoup is about to notice.
        unacknowledged = 0;
    }
    return this->added_bytes - static_cast<std::int64_t>(this->unsent) - unacknowledged;
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
