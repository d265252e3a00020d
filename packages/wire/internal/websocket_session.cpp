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

constexpr const char* protocol_name = "kingcupcart.v1";

using client_endpoint = websocketpp::client<websocketpp::config::core_client>;
using server_endpoint = websocketpp::server<websocketpp::config::core>;

} // namespace

class link_engine::state {
public:
    virtual ~state() = default;
    virtual void start() = 0;
    virtual void read(const char* data, std::size_t size) = 0;
    virtual void end_of_input() = 0;
    virtual bool send(const std::string& bytes) = 0;
    virtual void close() = 0;
};

namespace {

/// What client and server have in common.
template <typename Endpoint>
class engine_base {
public:
    using connection_ptr = typename Endpoint::connection_ptr;
    using message_ptr = typename Endpoint::message_ptr;

    explicit engine_base(link_engine::callbacks notify) : notify(std::move(notify)) {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
    }

    void adopt(connection_ptr made) {
        this->connection = std::move(made);
        this->connection->set_max_message_size(link_engine::message_limit);
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

    link_engine::callbacks notify;
};

} // namespace

/// The client's side.
class client_state final : public link_engine::state {
public:
    client_state(const std::string& authority, link_engine::callbacks notify)
        : base(std::move(notify)) {
        websocketpp::lib::error_code problem;
        auto made = this->base.endpoint.get_connection("ws://" + authority + "/link", problem);
        made->add_subprotocol(protocol_name, problem);
        this->base.adopt(std::move(made));
    }
    void start() override { this->base.endpoint.connect(this->base.connection); }
    void read(const char* data, std::size_t size) override { this->base.read(data, size); }
    void end_of_input() override { this->base.end_of_input(); }
    bool send(const std::string& bytes) override { return this->base.send(bytes); }
    void close() override { this->base.close(""); }

private:
    engine_base<client_endpoint> base;
};

/// The server's side; it refuses other subprotocols, that is other releases' inner protocols.
class server_state final : public link_engine::state {
public:
    explicit server_state(link_engine::callbacks notify) : base(std::move(notify)) {
        auto made = this->base.endpoint.get_connection();
        auto* connection = made.get();
        made->set_validate_handler([connection](websocketpp::connection_hdl) {
            for (const std::string& offered : connection->get_requested_subprotocols()) {
                if (offered == protocol_name) {
                    connection->select_subprotocol(offered);
                    return true;
                }
            }
            return false;
        });
        this->base.adopt(std::move(made));
    }
    void start() override { this->base.connection->start(); }
    void read(const char* data, std::size_t size) override { this->base.read(data, size); }
    void end_of_input() override { this->base.end_of_input(); }
    bool send(const std::string& bytes) override { return this->base.send(bytes); }
    void close() override { this->base.close(""); }

private:
    engine_base<server_endpoint> base;
};

link_engine::link_engine(side which, const std::string& authority, callbacks notify) {
    if (which == side::client) {
        this->self = std::make_unique<client_state>(authority, std::move(notify));
    } else {
        this->self = std::make_unique<server_state>(std::move(notify));
    }
}

link_engine::~link_engine() = default;

void link_engine::start() {
    this->self->start();
}

void link_engine::read(const char* data, std::size_t size) {
    this->self->read(data, size);
}

void link_engine::end_of_input() {
    this->self->end_of_input();
}

bool link_engine::send(const std::string& bytes) {
    return this->self->send(bytes);
}

void link_engine::close() {
    this->self->close();
}

} // namespace kingcupcart::wire
