// Compiled as C++17; see wire/CMakeLists.txt.
#define _WEBSOCKETPP_CPP11_STL_
#include "wire/websocket_session.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <utility>

namespace kingcupcart::wire {

namespace {

constexpr const char* subprotocol = "kingcupcart.v1";

using client_endpoint = websocketpp::client<websocketpp::config::core_client>;
using server_endpoint = websocketpp::server<websocketpp::config::core>;

} // namespace

class websocket_session::endpoint_session {
public:
    virtual ~endpoint_session() = default;
    virtual void start() = 0;
    virtual void read(const char* data, std::size_t size) = 0;
    virtual void end_of_input() = 0;
    virtual bool send(const std::string& bytes) = 0;
    virtual void close() = 0;
};

namespace {

/// The behaviour that client and server share.
template <typename Endpoint>
class session_base {
public:
    using connection_ptr = typename Endpoint::connection_ptr;
    using message_ptr = typename Endpoint::message_ptr;

    explicit session_base(websocket_session::callbacks notify) : notify(std::move(notify)) {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    /// A connection whose handshake is not complete holds itself until its input ends.
    ~session_base() {
        if (!this->connection) {
            return;
        }
        this->connection->set_write_handler(
            [](websocketpp::connection_hdl, char const*, std::size_t) {
                return websocketpp::lib::error_code();
            });
        this->connection->set_open_handler(nullptr);
        this->connection->set_message_handler(nullptr);
        this->connection->set_close_handler(nullptr);
        this->connection->set_fail_handler(nullptr);
        this->connection->eof();
    }
    session_base(const session_base&) = delete;
    session_base& operator=(const session_base&) = delete;

    void set_connection(connection_ptr created) {
        this->connection = std::move(created);
        this->connection->set_max_message_size(websocket_session::max_message_size);
        this->connection->set_write_handler(
            [this](websocketpp::connection_hdl, char const* data, std::size_t size) {
                this->notify.write(data, size);
                return websocketpp::lib::error_code();
            });
        this->connection->set_open_handler(
            [this](websocketpp::connection_hdl) { this->notify.opened(); });
        this->connection->set_message_handler(
            [this](websocketpp::connection_hdl, message_ptr message) {
                if (message->get_opcode() == websocketpp::frame::opcode::binary) {
                    this->notify.received(message->get_payload());
                } else {
                    this->close("only binary messages are understood");
                }
            });
        this->connection->set_close_handler(
            [this](websocketpp::connection_hdl) { this->report_closed(); });
        this->connection->set_fail_handler(
            [this](websocketpp::connection_hdl) { this->report_closed(); });
    }

    void read(const char* data, std::size_t size) { this->connection->read_all(data, size); }

    void end_of_input() { this->connection->eof(); }

    bool send(const std::string& bytes) {
        if (this->connection->get_state() != websocketpp::session::state::open) {
            return false;
        }
        return !this->connection->send(bytes, websocketpp::frame::opcode::binary);
    }

    void close(const std::string& reason) {
        websocketpp::lib::error_code ignored;
        this->connection->close(websocketpp::close::status::normal, reason, ignored);
    }

    Endpoint endpoint;
    connection_ptr connection;

private:
    void report_closed() {
        std::string reason = this->connection->get_ec().message();
        const std::string remote = this->connection->get_remote_close_reason();
        if (!remote.empty()) {
            reason += ": " + remote;
        }
        this->notify.closed(reason);
    }

    websocket_session::callbacks notify;
};

} // namespace

/// The client side, which requests the subprotocol of this release.
class client_session final : public websocket_session::endpoint_session {
public:
    client_session(const std::string& authority, websocket_session::callbacks notify)
        : base(std::move(notify)) {
        websocketpp::lib::error_code problem;
        auto created = this->base.endpoint.get_connection("ws://" + authority + "/link", problem);
        created->add_subprotocol(subprotocol, problem);
        this->base.set_connection(std::move(created));
    }
    void start() override { this->base.endpoint.connect(this->base.connection); }
    void read(const char* data, std::size_t size) override { this->base.read(data, size); }
    void end_of_input() override { this->base.end_of_input(); }
    bool send(const std::string& bytes) override { return this->base.send(bytes); }
    void close() override { this->base.close(""); }

private:
    session_base<client_endpoint> base;
};

/// The server side. It rejects clients that don't offer its subprotocol, such as those of a release
/// with an incompatible inner protocol.
class server_session final : public websocket_session::endpoint_session {
public:
    explicit server_session(websocket_session::callbacks notify) : base(std::move(notify)) {
        auto created = this->base.endpoint.get_connection();
        auto* connection = created.get();
        created->set_validate_handler([connection](websocketpp::connection_hdl) {
            for (const std::string& offered : connection->get_requested_subprotocols()) {
                if (offered == subprotocol) {
                    connection->select_subprotocol(offered);
                    return true;
                }
            }
            return false;
        });
        this->base.set_connection(std::move(created));
    }
    void start() override { this->base.connection->start(); }
    void read(const char* data, std::size_t size) override { this->base.read(data, size); }
    void end_of_input() override { this->base.end_of_input(); }
    bool send(const std::string& bytes) override { return this->base.send(bytes); }
    void close() override { this->base.close(""); }

private:
    session_base<server_endpoint> base;
};

websocket_session::websocket_session(side local_side, const std::string& authority,
                                     callbacks notify) {
    if (local_side == side::client) {
        this->impl = std::make_unique<client_session>(authority, std::move(notify));
    } else {
        this->impl = std::make_unique<server_session>(std::move(notify));
    }
}

websocket_session::~websocket_session() = default;

void websocket_session::start() {
    this->impl->start();
}

void websocket_session::read(const char* data, std::size_t size) {
    this->impl->read(data, size);
}

void websocket_session::end_of_input() {
    this->impl->end_of_input();
}

bool websocket_session::send(const std::string& bytes) {
    return this->impl->send(bytes);
}

void websocket_session::close() {
    this->impl->close();
}

} // namespace kingcupcart::wire
