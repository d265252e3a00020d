// Stand-ins and helpers of the review's scripts: raw HTTP/1.1 over loopback sockets, threads, no
// dependencies.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rv {

using headers = std::vector<std::pair<std::string, std::string>>;

inline long now_ms() {
    using namespace std::chrono;
    static const auto start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}
inline void sleep_ms(long ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// What was sent, answered and run, with the time since the start in milliseconds.
class record {
public:
    static record& get() {
        static record instance;
        return instance;
    }
    void open(const std::string& path) { this->file = std::fopen(path.c_str(), "w"); }
    void line(const char* format, ...) {
        const std::lock_guard lock(this->mutex);
        va_list arguments;
        va_start(arguments, format);
        char text[2000];
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        std::FILE* out = this->file != nullptr ? this->file : stdout;
        std::fprintf(out, "%7ld %s\n", now_ms(), text);
        std::fflush(out);
    }

private:
    std::FILE* file = nullptr;
    std::mutex mutex;
};
#define RECORD(...) rv::record::get().line(__VA_ARGS__)

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int free_port() {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = address_of("127.0.0.1", 0);
    bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    return ntohs(address.sin_port);
}

struct message {
    std::string start_line;
    headers fields;
    std::string body;
    [[nodiscard]] std::string field(const std::string& name) const {
        for (const auto& [key, value] : this->fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(int index) const {
        std::istringstream words(this->start_line);
        std::string found;
        for (int i = 0; i <= index; ++i) {
            words >> found;
        }
        return found;
    }
    [[nodiscard]] int status() const { return std::atoi(this->word(1).c_str()); }
};

/// A connection with a read buffer.
class stream {
public:
    explicit stream(int socket) : fd(socket) {}
    ~stream() { this->shut(); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    void shut() {
        const int closed = this->fd.exchange(-1);
        if (closed >= 0) {
            close(closed);
        }
    }
    /// The peer sees a reset.
    void reset() {
        const linger now{1, 0};
        if (this->fd >= 0) {
            setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        }
        this->shut();
    }
    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size =
                send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    /// Reads more into the buffer. False at the end, an error or the deadline.
    bool fill(long deadline) {
        pollfd waiting{this->fd, POLLIN, 0};
        const long left = deadline - now_ms();
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
            this->timed_out = true;
            return false;
        }
        char bytes[16384];
        const auto size = recv(this->fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
            this->was_reset = size < 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    /// Whether the peer has closed the connection; bytes stay in the socket.
    [[nodiscard]] bool peer_left() const {
        char byte = 0;
        return recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
    bool read_line(std::string& line, long deadline) {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->fill(deadline)) {
                return false;
            }
        }
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
    }
    bool read_head(message& read, long deadline) {
        if (!this->read_line(read.start_line, deadline)) {
            return false;
        }
        std::string line;
        while (this->read_line(line, deadline)) {
            if (line.empty()) {
                return true;
            }
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                read.fields.emplace_back(line.substr(0, colon),
                                         value == std::string::npos ? "" : line.substr(value));
            }
        }
        return false;
    }
    /// `on_part` gets each part of the body as it arrives.
    bool read_body(message& read, bool is_response, long deadline,
                   const std::function<void(const std::string&)>& on_part = {}) {
        const auto take = [&](std::size_t size) {
            const std::string part = this->buffer.substr(0, size);
            this->buffer.erase(0, size);
            read.body += part;
            if (on_part && !part.empty()) {
                on_part(part);
            }
        };
        if (strcasecmp(read.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string line;
            while (this->read_line(line, deadline)) {
                std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
                if (size == 0) {
                    return this->read_line(line, deadline);
                }
                while (this->buffer.size() < size + 2) {
                    if (!this->fill(deadline)) {
                        return false;
                    }
                }
                take(size);
                this->buffer.erase(0, 2);
            }
            return false;
        }
        const std::string length = read.field("Content-Length");
        if (length.empty()) {
            if (!is_response) {
                return true;
            }
            while (this->fill(deadline)) {
            }
            take(this->buffer.size());
            return !this->timed_out && !this->was_reset;
        }
        std::size_t left = std::strtoul(length.c_str(), nullptr, 10);
        while (left > 0) {
            if (this->buffer.empty() && !this->fill(deadline)) {
                return false;
            }
            const std::size_t size = std::min(left, this->buffer.size());
            take(size);
            left -= size;
        }
        return true;
    }
    std::atomic<int> fd;
    std::string buffer;
    bool timed_out = false;
    bool was_reset = false;
};

inline std::shared_ptr<stream> dial(const std::string& ip, int port, long timeout) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(ip, port);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd waiting{fd, POLLOUT, 0};
    int problem = 0;
    socklen_t size = sizeof problem;
    if (poll(&waiting, 1, static_cast<int>(timeout)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0) {
        close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<stream>(fd);
}

inline std::string encode(const std::string& start, const headers& fields, const std::string& body,
                          bool has_length = true) {
    std::string text = start + "\r\n";
    for (const auto& [name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (has_length) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

struct answer {
    /// 0 if there was none.
    int status = 0;
    message head;
    bool is_complete = false;
    long took = 0;
    [[nodiscard]] const std::string& body() const { return this->head.body; }
};

/// One call on a connection of its own.
inline answer call(const std::string& ip, int port, const std::string& method,
                   const std::string& path, const headers& fields, const std::string& body,
                   long timeout, const std::function<void(const std::string&)>& on_part = {},
                   const std::function<void(std::shared_ptr<stream>)>& on_sent = {}) {
    answer result;
    const long started = now_ms();
    const auto connection = dial(ip, port, std::min(timeout, 1000L));
    if (connection && connection->write(encode(method + " " + path + " HTTP/1.1", fields, body))) {
        if (on_sent) {
            on_sent(connection);
        }
        const long deadline = started + timeout;
        if (connection->read_head(result.head, deadline)) {
            result.status = result.head.status();
            result.is_complete = connection->read_body(result.head, true, deadline, on_part);
        }
    }
    result.took = now_ms() - started;
    return result;
}

/// A server with a thread for each connection. The handler answers on the connection; it returns
/// whether the connection stays open.
class server {
public:
    using handler = std::function<bool(const std::shared_ptr<stream>&, message&)>;
    server(const std::string& ip, handler on_request) : on_request(std::move(on_request)) {
        this->listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(this->listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = address_of(ip, 0);
        bind(this->listening, reinterpret_cast<sockaddr*>(&address), sizeof address);
        socklen_t size = sizeof address;
        getsockname(this->listening, reinterpret_cast<sockaddr*>(&address), &size);
        this->bound_port = ntohs(address.sin_port);
        listen(this->listening, 256);
        std::thread([this] { this->accept_all(); }).detach();
    }
    [[nodiscard]] int port() const { return this->bound_port; }

private:
    void accept_all() {
        while (true) {
            const int fd = accept4(this->listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                const auto connection = std::make_shared<stream>(fd);
                while (true) {
                    message request;
                    if (!connection->read_head(request, now_ms() + 60000) ||
                        !connection->read_body(request, false, now_ms() + 60000) ||
                        !this->on_request(connection, request)) {
                        return;
                    }
                }
            }).detach();
        }
    }
    handler on_request;
    int listening = -1;
    int bound_port = 0;
};

/// One of the project's processes.
class process {
public:
    process(std::string program, std::string settings, std::string log)
        : program(std::move(program)), settings(std::move(settings)), log(std::move(log)) {}
    ~process() {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            this->wait();
        }
    }
    void start() {
        this->pid = fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl(this->program.c_str(), this->program.c_str(), "--settings",
                  this->settings.c_str(), nullptr);
            _exit(127);
        }
    }
    void signal(int number) const { ::kill(this->pid, number); }
    /// Returns the status; -1 if the process has not ended within the time.
    int wait(long timeout = 10000) {
        const long deadline = now_ms() + timeout;
        int status = 0;
        while (this->pid > 0) {
            const pid_t ended = waitpid(this->pid, &status, WNOHANG);
            if (ended == this->pid) {
                this->pid = -1;
                return status;
            }
            if (now_ms() > deadline) {
                return -1;
            }
            sleep_ms(5);
        }
        return status;
    }
    void kill() {
        this->signal(SIGKILL);
        this->wait();
    }
    bool contains(const std::string& text) const {
        std::ifstream file(this->log);
        std::stringstream all;
        all << file.rdbuf();
        return all.str().find(text) != std::string::npos;
    }
    pid_t pid = -1;
    std::string program, settings, log;
};

/// The processes of a small deployment, on loopback addresses: one for each machine, with the same
/// ports everywhere. The settings are what the templates of the deploy file give.
class fleet {
public:
    fleet(int keepers, int stores, int gateways) : fleet(keepers, stores, gateways, 110, 130, 1) {}
    fleet(int keepers, int stores, int gateways, int entry_memory, int store_memory, int losses)
        : entry_mb(entry_memory), store_mb(store_memory), tolerated_losses(losses) {
        const char* program = std::getenv("KINGCUPCARTD");
        this->program = program != nullptr ? program : "target/apps/kingcupcartd";
        this->folder = std::filesystem::temp_directory_path() / "kingcupcart-review-XXXXXX";
        if (mkdtemp(this->folder.data()) == nullptr) {
            std::fprintf(stderr, "no temporary folder\n");
            std::_Exit(2);
        }
        this->link = free_port();
        this->admin = free_port();
        this->control = free_port();
        this->front = free_port();
        this->ready = free_port();
        this->net = "127." + std::to_string(20 + getpid() % 200) + ".0.";
        for (int i = 0; i < keepers; ++i) {
            this->add("keeper", i);
        }
        for (int i = 0; i < stores; ++i) {
            this->add("store", i);
        }
        for (int i = 0; i < gateways; ++i) {
            this->add("entry", i);
        }
        for (auto& [name, started] : this->processes) {
            started->start();
        }
    }
    ~fleet() {
        this->processes.clear();
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
    [[nodiscard]] std::string ip(const std::string& role, int index) const {
        const int first = role == "keeper" ? 10 : role == "store" ? 30 : role == "entry" ? 50 : 100;
        return this->net + std::to_string(first + index);
    }
    [[nodiscard]] std::string seeds() const {
        return this->ip("keeper", 0) + ":" + std::to_string(this->control) + "," +
               this->ip("keeper", 1) + ":" + std::to_string(this->control) + "," +
               this->ip("keeper", 2) + ":" + std::to_string(this->control);
    }
    void add(const std::string& role, int index) {
        const std::string name = role + std::to_string(index);
        const std::string own = this->ip(role, index);
        const auto at = [&](int port) { return own + ":" + std::to_string(port); };
        std::string text = "[instance]\nid = " + name + "\nfailure-domain = zone-" +
                           std::to_string(index % 3) + "\nregion = region-" +
                           std::to_string(index % 3) +
                           "\nroles = " + (role == "entry" ? "gateway" : role) +
                           "\nadmin = " + at(this->admin) + "\n";
        const std::string data = this->folder + "/" + name;
        mkdir(data.c_str(), 0755);
        if (role == "entry") {
            text += "memory = " + std::to_string(this->entry_mb) +
                    "MB\nstop-grace = 2500ms\nkill-after = 8s\n\n[gateway]\ncallers = " +
                    at(this->front) + "\nready = " + at(this->ready) +
                    "\naddress = " + at(this->link) + "\nseeds = " + this->seeds() +
                    "\nlink-port = " + std::to_string(this->link) + "\n";
        } else if (role == "keeper") {
            text += "memory = 256MB\nstop-grace = 0s\n\n[keeper]\naddress = " + at(this->link) +
                    "\ndata = " + data + "\ncontrol = " + at(this->control) +
                    "\nseeds = " + this->seeds() + "\nlink-port = " + std::to_string(this->link) +
                    "\nfirst-start = true\ntolerated-losses = " +
                    std::to_string(this->tolerated_losses) + "\norder-lease = 3000ms\n";
        } else {
            text += "memory = " + std::to_string(this->store_mb) +
                    "MB\nstop-grace = 0s\n\n[store]\naddress = " + at(this->link) +
                    "\ndata = " + data + "\nseeds = " + this->seeds() +
                    "\nlink-port = " + std::to_string(this->link) +
                    "\nfirst-start = true\ntolerated-losses = " +
                    std::to_string(this->tolerated_losses) + "\nretention = 120s\n";
        }
        text += "\n[log]\nstream = stdout\n";
        const std::string settings = this->folder + "/" + name + ".ini";
        std::ofstream(settings) << text;
        this->processes[name] =
            std::make_unique<process>(this->program, settings, this->folder + "/" + name + ".log");
    }
    process& at(const std::string& name) { return *this->processes.at(name); }
    /// Sends the configuration, with the keepers tried in turn, until it is accepted.
    bool put_configuration(const std::string& document, long timeout = 15000) {
        const long deadline = now_ms() + timeout;
        for (int i = 0; now_ms() < deadline; ++i) {
            const answer put =
                call(this->ip("keeper", i % 3), this->control, "POST", "/kingcupcart/config/put",
                     {{"Host", "control"}, {"Content-Type", "application/json"}}, document, 1500);
            if (put.status == 200) {
                RECORD("configuration acknowledged");
                return true;
            }
            sleep_ms(100);
        }
        return false;
    }
    bool wait_ready(long timeout = 20000) {
        const long deadline = now_ms() + timeout;
        for (const auto& [name, started] : this->processes) {
            if (name.rfind("entry", 0) != 0) {
                continue;
            }
            const int index = std::atoi(name.c_str() + 5);
            while (call(this->ip("entry", index), this->ready, "GET", "/kingcupcart/ready",
                        {{"Host", "x"}}, "", 500)
                       .status != 200) {
                if (now_ms() > deadline) {
                    return false;
                }
                sleep_ms(50);
            }
        }
        return true;
    }
    std::string program, folder, net;
    int link = 0, admin = 0, control = 0, front = 0, ready = 0;
    /// Memory of the machines in MB, as on the sheet of the deployment lechtal-schema.
    int entry_mb;
    int store_mb;
    int keeper_mb = 256;
    /// As many machines with a disk may be lost at once.
    int tolerated_losses;
    std::map<std::string, std::unique_ptr<process>> processes;
};

/// A replica: heartbeats, load orders, reports; `on_run` runs a request.
class replica {
public:
    struct options {
        std::string id, service, model;
        int slots = 8;
        int zone = 0;
    };
    replica(fleet& of, int number, options own, server::handler on_run)
        : of(of),
          own(std::move(own)),
          ip(of.ip("replica", number)),
          on_run(std::move(on_run)),
          serving(this->ip, [this](const std::shared_ptr<stream>& connection, message& request) {
              return this->handle(connection, request);
          }) {
        std::thread([this] { this->beat_all(); }).detach();
    }
    bool handle(const std::shared_ptr<stream>& connection, message& request) {
        const std::string expected = request.field("X-Expect-Instance");
        const std::string name = request.field("X-Request-Id");
        const std::string path = request.word(1);
        if (!expected.empty() && expected != this->own.id) {
            return connection->write(
                encode("HTTP/1.1 421 Misdirected Request", {{"X-Request-Id", name}}, ""));
        }
        if (path == "/kingcupcart/report") {
            return connection->write(
                encode("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}}, this->report()));
        }
        if (path == "/kingcupcart/order") {
            return this->order(connection, request);
        }
        if (path == "/healthz") {
            return connection->write(
                encode("HTTP/1.1 200 OK", {{"X-Instance-Id", this->own.id}}, ""));
        }
        return this->on_run(connection, request);
    }
    static std::string number_after(const std::string& text, const std::string& key) {
        const auto at = text.find("\"" + key + "\":");
        return at == std::string::npos
                   ? ""
                   : std::to_string(std::atol(text.c_str() + at + key.size() + 3));
    }
    bool order(const std::shared_ptr<stream>& connection, message& request) {
        const std::string version = number_after(request.body, "version");
        const std::string expected = number_after(request.body, "expected");
        const std::lock_guard lock(this->mutex);
        RECORD("order replica=%s version=%s fence=%s expected=%s seq=%d", this->own.id.c_str(),
               version.c_str(), number_after(request.body, "fence").c_str(), expected.c_str(),
               this->orders);
        if (!expected.empty() && expected != std::to_string(this->orders)) {
            return connection->write(encode("HTTP/1.1 409 Conflict", {}, ""));
        }
        if (std::atoi(version.c_str()) == this->version) {
            return connection->write(encode("HTTP/1.1 200 OK", {}, ""));
        }
        ++this->orders;
        this->version = std::atoi(version.c_str());
        return connection->write(encode("HTTP/1.1 202 Accepted", {}, ""));
    }
    [[nodiscard]] std::string models() const {
        return this->own.model.empty() ? "[]"
                                       : R"([{"name":")" + this->own.model + R"(","version":)" +
                                             std::to_string(this->version) + R"(,"adapters":[]}])";
    }
    std::string report() {
        const std::lock_guard lock(this->mutex);
        return R"({"stage":"both","models":)" + this->models() + R"(,"busy":false,"seq":)" +
               std::to_string(this->orders) +
               R"(,"numWaiting":0,"numRunning":0,"kvUsed":0,"kvTotal":43133,"handles":0})";
    }
    std::string beat_body(const std::string& state, long number) {
        const std::lock_guard lock(this->mutex);
        return R"({"service":")" + this->own.service + R"(","address":")" + this->ip + ":" +
               std::to_string(this->serving.port()) + R"(","zone":"zone-)" +
               std::to_string(this->own.zone) + R"(","version":"v1","slots":)" +
               std::to_string(this->own.slots) + R"(,"state":")" + state +
               R"(","coldLeftMs":0,"stage":"both","models":)" + this->models() + R"(,"born":)" +
               std::to_string(this->born) + R"(,"seq":)" + std::to_string(number) + "}";
    }
    /// Whether a keeper acknowledged the heartbeat.
    bool beat(const std::string& state) {
        const long number = ++this->seq;
        for (int i = 0; i < 3; ++i) {
            const answer acknowledged =
                call(this->of.ip("keeper", static_cast<int>(number + i) % 3), this->of.control,
                     "POST", "/kingcupcart/replicas/" + this->own.id + "/heartbeat",
                     {{"Host", "control"}, {"Content-Type", "application/json"}},
                     this->beat_body(state, number), 1000);
            if (acknowledged.status >= 200 && acknowledged.status < 300) {
                return true;
            }
        }
        return false;
    }
    void beat_all() {
        while (true) {
            if (this->is_beating) {
                this->beat(this->state);
            }
            sleep_ms(1200);
        }
    }
    fleet& of;
    options own;
    std::string ip;
    server::handler on_run;
    std::mutex mutex;
    std::atomic<bool> is_beating{true};
    std::string state = "ready";
    std::atomic<long> seq{0};
    long born = 1790000000000L;
    int version = 1;
    int orders = 0;
    server serving;
};

/// Writes one chunk of a chunked response.
inline bool write_chunk(const std::shared_ptr<stream>& connection, const std::string& part) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    return connection->write(size + part + "\r\n");
}

/// Three routes and two services, like those of the small deployments.
inline const char* configuration() {
    return R"CONFIG({"version":3,"routes":[
{"name":"r-b","host":"shop.example","pathPrefix":"/b/","type":"idempotent","timeoutMs":3000,"sloMs":200,"priority":2,"backends":[{"service":"app","weight":100}],"maxAttempts":2},
{"name":"r-n","host":"shop.example","pathPrefix":"/n/","type":"non_idempotent","timeoutMs":6000,"sloMs":200,"priority":2,"service":"app","maxAttempts":2},
{"name":"r-s","host":"shop.example","pathPrefix":"/s/","type":"streaming","timeoutMs":20000,"sloMs":400,"priority":1,"service":"app","maxAttempts":3,"resumable":true},
{"name":"r-d","host":"shop.example","pathPrefix":"/d/","type":"rollout","timeoutMs":10000,"sloMs":400,"priority":0,"service":"lm","maxAttempts":3,"maxQueueS":40.0,"dueMs":7500,"singleVersion":false,"sticky":true,"resumable":true}],
"services":[{"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false},
{"name":"lm","healthPath":"/healthz","maxConns":170,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":43133,"kvTokenBytes":163840,"linkMbps":1400000.0,"moves":true,"backups":true,"stride":64,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"m0"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":33554432,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})CONFIG";
}

/// Whether the script plays the trouble of its case.
inline bool has_trouble() {
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}
} // namespace rv
