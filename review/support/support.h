// Support for the review's cases: starts a small fleet of kingcupcartd processes on loopback
// addresses, and offers stand-ins for clients, replicas and the operator.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

/// Whether the case is to run with its disruption; `TROUBLE=0` turns it off.
bool with_trouble();
void pause_for(milliseconds time);

/// Writes what was sent, answered and run to record.txt in the folder of the case.
class record_file {
public:
    /// Begins a new record, or adds to one that another process has begun.
    explicit record_file(const std::string& folder, bool adds = false);
    void write(const std::string& line);
    /// Milliseconds of the steady clock, which all processes share.
    [[nodiscard]] static long now();

private:
    std::mutex mutex;
    std::FILE* file = nullptr;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

struct http_request {
    std::string method;
    std::string path;
    header_list headers;
    std::string body;

    /// Value of the header field; empty if it is missing.
    [[nodiscard]] std::string header(const std::string& name) const;
};

struct http_response {
    /// 0 if no complete head was received.
    int status = 0;
    header_list headers;
    std::string body;
    /// Whether the whole body was received, by its length or its last chunk.
    bool is_complete = false;

    [[nodiscard]] std::string header(const std::string& name) const;
};

struct address {
    std::string ip;
    int port = 0;
    [[nodiscard]] std::string text() const { return this->ip + ":" + std::to_string(this->port); }
};

/// Sends the request on a new connection and reads the response.
http_response call(const address& server, const http_request& request, milliseconds timeout);

/// A call to `control`: to one keeper after the other, until one answers with another status than
/// 5xx.
http_response call_control(const std::vector<address>& keepers, record_file& record,
                           const http_request& request, milliseconds time_limit);

/// A connection that a stand-in server accepted.
class connection {
public:
    explicit connection(int socket) : socket(socket) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// False at the end of the connection.
    bool read_request(http_request& request);
    bool write(const std::string& bytes);

private:
    int socket;
    std::string buffer;
};

/// An HTTP server with one thread for each connection. The handler returns false to close the
/// connection.
class http_server {
public:
    using handler = std::function<bool(connection&, const http_request&)>;

    http_server(const std::string& ip, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] const address& bound() const { return this->listen_address; }

private:
    void accept_connections();

    handler on_request;
    address listen_address;
    int listener = -1;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

/// A process of the project, started with the command of the deploy file.
class process {
public:
    process(std::string settings_path, std::string log_path);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    void start();
    void signal(int number) const;
    /// SIGKILL, and waits for the end.
    void kill();
    /// Whether the process ended although no `kill` was called.
    bool has_ended();

private:
    std::string settings_path;
    std::string log_path;
    pid_t pid = 0;
};

struct fleet_size {
    int keepers = 3;
    int stores = 3;
    int gateways = 1;
};

/// Keepers, stores and gateways with settings that follow the templates in deploy/.
class fleet {
public:
    fleet(const fleet_size& size, record_file& record);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Sends the configuration until it is acknowledged, and waits until all gateways are ready.
    bool configure(const std::string& document);
    [[nodiscard]] bool is_ready(std::size_t gateway) const;

    [[nodiscard]] address gateway_address(std::size_t i) const;
    [[nodiscard]] address control_address(std::size_t i) const;
    [[nodiscard]] address store_admin_address(std::size_t i) const;
    [[nodiscard]] std::vector<address> control_addresses() const;
    [[nodiscard]] std::string replica_ip() const { return this->block + ".200"; }

    /// Ends all processes, removes their files, and exits. The stand-ins' threads may still run.
    [[noreturn]] void finish(int code);

    std::vector<std::unique_ptr<process>> keepers;
    std::vector<std::unique_ptr<process>> stores;
    std::vector<std::unique_ptr<process>> gateways;

private:
    void add(std::vector<std::unique_ptr<process>>& list, const std::string& name,
             const std::string& settings);
    void choose_ports(int instances);
    void remove_all();

    record_file& record;
    std::string folder;
    /// The first three numbers of all addresses.
    std::string block;
    int link_port = 0;
    int admin_port = 0;
    int control_port = 0;
    int ready_port = 0;
    int callers_port = 0;
};

/// A stand-in that runs as a process of its own: this program with other arguments.
class stand_in {
public:
    explicit stand_in(const std::vector<std::string>& arguments);
    ~stand_in();
    stand_in(const stand_in&) = delete;
    stand_in& operator=(const stand_in&) = delete;

    /// SIGKILL, and waits for the end.
    void kill();

private:
    pid_t pid = 0;
};

/// Sends the heartbeats of a replica, as the pages describe: to one keeper, and to the next one
/// where that one does not answer.
class announcer {
public:
    announcer(std::vector<address> keepers, record_file& record, std::string id,
              std::string service, std::string model, address replica, int slots);
    ~announcer();
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;

    /// Stops the heartbeats and deregisters; returns when that is acknowledged.
    bool deregister(milliseconds time_limit);
    /// Ends the heartbeats, as a crash does.
    void stop();

private:
    void run();
    [[nodiscard]] std::string body();

    std::vector<address> keepers;
    record_file& record;
    std::string id;
    std::string service;
    std::string model;
    address replica;
    int slots;
    std::int64_t born;
    std::uint64_t sequence = 0;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

/// Waits until `condition` holds; false after the time limit.
bool wait_until(const std::function<bool()>& condition, milliseconds time_limit);

} // namespace review
