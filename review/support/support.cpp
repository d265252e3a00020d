#include "support.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr milliseconds heartbeat_interval(1200);
constexpr milliseconds acknowledgement_limit(1000);

std::string find_header(const header_list& headers, const std::string& name) {
    for (const auto& [key, value] : headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return "";
}

sockaddr_in socket_address(const std::string& ip, int port) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

/// A listening socket; -1 if the address can't be used.
int open_listener(const std::string& ip, int port) {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in bound = socket_address(ip, port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) != 0 ||
        listen(listener, 128) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

int port_of(int listener) {
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

/// Reads what has arrived; false at the end, on an error, or at the time limit.
bool read_some(int socket, std::string& buffer, steady::time_point limit) {
    const auto left = std::chrono::duration_cast<milliseconds>(limit - steady::now()).count();
    pollfd waiting{socket, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t size = recv(socket, bytes, sizeof bytes, 0);
    if (size <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

bool write_all(int socket, const std::string& bytes) {
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t size =
            send(socket, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        written += static_cast<std::size_t>(size);
    }
    return true;
}

/// Splits a head into its first line and its fields.
std::string parse_head(const std::string& head, header_list& headers) {
    std::size_t begin = 0;
    std::string first;
    for (int number = 0; begin < head.size(); ++number) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, end - begin);
        begin = end == std::string::npos ? head.size() : end + 2;
        if (number == 0) {
            first = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
        }
    }
    return first;
}

/// Reads a body by its length or its chunks; true once it is complete.
bool read_body(int socket, std::string& buffer, const header_list& headers, std::string& body,
               bool ends_with_connection, steady::time_point limit) {
    const std::string length = find_header(headers, "Content-Length");
    if (strcasecmp(find_header(headers, "Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (!read_some(socket, buffer, limit)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(buffer.substr(0, end), nullptr, 16);
            while (buffer.size() < end + 4 + size) {
                if (!read_some(socket, buffer, limit)) {
                    return false;
                }
            }
            body += buffer.substr(end + 2, size);
            buffer.erase(0, end + 4 + size);
            if (size == 0) {
                return true;
            }
        }
    }
    if (length.empty() && ends_with_connection) {
        while (read_some(socket, buffer, limit)) {
        }
        body = std::exchange(buffer, "");
        return true;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!read_some(socket, buffer, limit)) {
            body = buffer;
            return false;
        }
    }
    body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

} // namespace

bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void pause_for(milliseconds time) {
    std::this_thread::sleep_for(time);
}

bool wait_until(const std::function<bool()>& condition, milliseconds time_limit) {
    const auto end = steady::now() + time_limit;
    while (steady::now() < end) {
        if (condition()) {
            return true;
        }
        pause_for(milliseconds(50));
    }
    return condition();
}

record_file::record_file(const std::string& folder, bool adds)
    : file(std::fopen((folder + "/record.txt").c_str(), adds ? "a" : "w")) {
    std::setvbuf(this->file, nullptr, _IOLBF, 0);
}

long record_file::now() {
    return static_cast<long>(
        std::chrono::duration_cast<milliseconds>(steady::now().time_since_epoch()).count());
}

void record_file::write(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%9ld ms  %s\n", now(), line.c_str());
}

std::string http_request::header(const std::string& name) const {
    return find_header(this->headers, name);
}

std::string http_response::header(const std::string& name) const {
    return find_header(this->headers, name);
}

http_response call(const address& server, const http_request& request, milliseconds timeout) {
    http_response response;
    const auto limit = steady::now() + timeout;
    const int link = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = socket_address(server.ip, server.port);
    if (connect(link, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0) {
        close(link);
        return response;
    }
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (request.header("Host").empty()) {
        text += "Host: " + server.text() + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    std::string buffer;
    bool is_open = write_all(link, text);
    while (is_open && buffer.find("\r\n\r\n") == std::string::npos) {
        is_open = read_some(link, buffer, limit);
    }
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
        const std::string first = parse_head(buffer.substr(0, end), response.headers);
        response.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
        buffer.erase(0, end + 4);
        response.is_complete =
            read_body(link, buffer, response.headers, response.body, true, limit);
    }
    close(link);
    return response;
}

http_response call_control(const std::vector<address>& keepers, record_file& record,
                           const http_request& request, milliseconds time_limit) {
    const auto end = steady::now() + time_limit;
    http_response response;
    for (std::size_t i = 0; steady::now() < end; ++i) {
        const address& keeper = keepers[i % keepers.size()];
        response = call(keeper, request, acknowledgement_limit);
        record.write("control " + request.method + " " + request.path + " at " + keeper.text() +
                     ": " + std::to_string(response.status));
        if (response.status != 0 && response.status < 500) {
            return response;
        }
        pause_for(milliseconds(100));
    }
    return response;
}

connection::~connection() {
    close(this->socket);
}

bool connection::read_request(http_request& request) {
    const auto limit = steady::now() + std::chrono::minutes(5);
    request = {};
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!read_some(this->socket, this->buffer, limit)) {
            return false;
        }
    }
    const std::string first = parse_head(this->buffer.substr(0, end), request.headers);
    this->buffer.erase(0, end + 4);
    const std::size_t space = first.find(' ');
    request.method = first.substr(0, space);
    request.path = first.substr(space + 1, first.find(' ', space + 1) - space - 1);
    return read_body(this->socket, this->buffer, request.headers, request.body, false, limit);
}

bool connection::write(const std::string& bytes) {
    return write_all(this->socket, bytes);
}

http_server::http_server(const std::string& ip, handler on_request)
    : on_request(std::move(on_request)), listener(open_listener(ip, 0)) {
    if (this->listener < 0) {
        std::fprintf(stderr, "cannot listen on %s\n", ip.c_str());
        std::exit(could_not_run);
    }
    this->listen_address = {ip, port_of(this->listener)};
    this->thread = std::thread([this] { this->accept_connections(); });
}

http_server::~http_server() {
    this->is_stopping = true;
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
}

void http_server::accept_connections() {
    while (!this->is_stopping) {
        const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([handle = this->on_request, accepted] {
            connection client(accepted);
            http_request request;
            while (client.read_request(request) && handle(client, request)) {
            }
        }).detach();
    }
}

process::process(std::string settings_path, std::string log_path)
    : settings_path(std::move(settings_path)), log_path(std::move(log_path)) {}

process::~process() {
    this->kill();
}

void process::start() {
    this->pid = fork();
    if (this->pid == 0) {
        const int log = open(this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl("target/apps/kingcupcartd", "target/apps/kingcupcartd", "--settings",
              this->settings_path.c_str(), nullptr);
        _exit(127);
    }
}

void process::signal(int number) const {
    if (this->pid > 0) {
        ::kill(this->pid, number);
    }
}

void process::kill() {
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }
}

bool process::has_ended() {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
        this->pid = 0;
        return true;
    }
    return false;
}

stand_in::stand_in(const std::vector<std::string>& arguments) {
    this->pid = fork();
    if (this->pid == 0) {
        std::vector<char*> words{const_cast<char*>("stand-in")};
        for (const std::string& argument : arguments) {
            words.push_back(const_cast<char*>(argument.c_str()));
        }
        words.push_back(nullptr);
        execv("/proc/self/exe", words.data());
        _exit(127);
    }
}

stand_in::~stand_in() {
    this->kill();
}

void stand_in::kill() {
    if (this->pid > 0) {
        ::kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
        this->pid = 0;
    }
}

fleet::fleet(const fleet_size& size, record_file& record) : record(record) {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->folder = mkdtemp(pattern.data());
    this->choose_ports(size.keepers + size.stores + size.gateways);
    std::string seeds;
    for (int i = 0; i < size.keepers; ++i) {
        seeds += (i == 0 ? "" : ",") + this->control_address(static_cast<std::size_t>(i)).text();
    }
    int host = 0;
    const int losses = size.keepers >= 3 ? 1 : 0;
    const auto settings = [&](const std::string& role, int i, const std::string& text) {
        const std::string ip = this->block + "." + std::to_string(++host);
        std::string result =
            "[instance]\nid = " + role + "-" + std::to_string(i + 1) + "\nfailure-domain = zone-" +
            std::to_string(i + 1) + "\nregion = region-1\nroles = " + role + "\nadmin = " + ip +
            ":" + std::to_string(this->admin_port) + "\n" + text + "seeds = " + seeds +
            "\nlink-port = " + std::to_string(this->link_port) + "\n[log]\nstream = stdout\n";
        for (std::size_t at = 0; (at = result.find("{ip}", at)) != std::string::npos;) {
            result.replace(at, 4, ip);
        }
        return result;
    };
    const std::string link = std::to_string(this->link_port);
    for (int i = 0; i < size.keepers; ++i) {
        const std::string name = "keeper-" + std::to_string(i + 1);
        this->add(this->keepers, name,
                  settings("keeper", i,
                           "stop-grace = 0s\n[keeper]\naddress = {ip}:" + link +
                               "\ndata = " + this->folder + "/" + name +
                               "-data\ncontrol = {ip}:" + std::to_string(this->control_port) +
                               "\nfirst-start = true\norder-lease = 3000ms\ntolerated-losses = " +
                               std::to_string(losses) + "\n"));
    }
    for (int i = 0; i < size.stores; ++i) {
        const std::string name = "store-" + std::to_string(i + 1);
        this->add(this->stores, name,
                  settings("store", i,
                           "stop-grace = 0s\n[store]\naddress = {ip}:" + link +
                               "\ndata = " + this->folder + "/" + name +
                               "-data\nfirst-start = true\nretention = 120s\ntolerated-losses = " +
                               std::to_string(losses) + "\n"));
    }
    for (int i = 0; i < size.gateways; ++i) {
        this->add(this->gateways, "gateway-" + std::to_string(i + 1),
                  settings("gateway", i,
                           "stop-grace = 2500ms\nstop-limit = 5s\n[gateway]\ncallers = {ip}:" +
                               std::to_string(this->callers_port) +
                               "\nready = {ip}:" + std::to_string(this->ready_port) + "\n"));
    }
}

fleet::~fleet() {
    this->remove_all();
}

void fleet::finish(int code) {
    this->remove_all();
    std::fflush(nullptr);
    _exit(code);
}

void fleet::remove_all() {
    for (auto* list : {&this->gateways, &this->stores, &this->keepers}) {
        for (const auto& instance : *list) {
            instance->kill();
        }
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(this->folder);
    } else {
        std::fprintf(stderr, "logs: %s\n", this->folder.c_str());
    }
}

void fleet::add(std::vector<std::unique_ptr<process>>& list, const std::string& name,
                const std::string& settings) {
    const std::string path = this->folder + "/" + name + ".ini";
    std::ofstream(path) << settings;
    list.push_back(std::make_unique<process>(path, this->folder + "/" + name + ".log"));
    list.back()->start();
}

void fleet::choose_ports(int instances) {
    const int second = 10 + static_cast<int>(getpid() % 200);
    const int third = 1 + static_cast<int>(getpid() / 200 % 200);
    this->block = "127." + std::to_string(second) + "." + std::to_string(third);
    for (int* port : {&this->link_port, &this->admin_port, &this->control_port, &this->ready_port,
                      &this->callers_port}) {
        bool is_free = false;
        while (!is_free) {
            const int probe = open_listener(this->block + ".1", 0);
            *port = port_of(probe);
            close(probe);
            is_free = true;
            for (int i = 2; i <= instances && is_free; ++i) {
                const int other = open_listener(this->block + "." + std::to_string(i), *port);
                is_free = other >= 0;
                close(other);
            }
        }
    }
}

address fleet::control_address(std::size_t i) const {
    return {this->block + "." + std::to_string(i + 1), this->control_port};
}

address fleet::store_admin_address(std::size_t i) const {
    return {this->block + "." + std::to_string(this->keepers.size() + i + 1), this->admin_port};
}

address fleet::gateway_address(std::size_t i) const {
    const std::size_t before = this->keepers.size() + this->stores.size();
    return {this->block + "." + std::to_string(before + i + 1), this->callers_port};
}

bool fleet::is_ready(std::size_t gateway) const {
    const address ready{this->gateway_address(gateway).ip, this->ready_port};
    return call(ready, {"GET", "/kingcupcart/ready", {}, ""}, milliseconds(1000)).status == 200;
}

std::vector<address> fleet::control_addresses() const {
    std::vector<address> result;
    for (std::size_t i = 0; i < this->keepers.size(); ++i) {
        result.push_back(this->control_address(i));
    }
    return result;
}

bool fleet::configure(const std::string& document) {
    const http_request put{
        "POST", "/kingcupcart/config/put", {{"Content-Type", "application/json"}}, document};
    return call_control(this->control_addresses(), this->record, put, milliseconds(15000)).status ==
               200 &&
           wait_until(
               [this] {
                   for (std::size_t i = 0; i < this->gateways.size(); ++i) {
                       if (!this->is_ready(i)) {
                           return false;
                       }
                   }
                   return true;
               },
               milliseconds(15000));
}

announcer::announcer(std::vector<address> keepers, record_file& record, std::string id,
                     std::string service, std::string model, address replica, int slots)
    : keepers(std::move(keepers)),
      record(record),
      id(std::move(id)),
      service(std::move(service)),
      model(std::move(model)),
      replica(std::move(replica)),
      slots(slots),
      born(std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count()) {
    this->thread = std::thread([this] { this->run(); });
}

announcer::~announcer() {
    this->stop();
}

void announcer::stop() {
    this->is_stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

std::string announcer::body() {
    std::string text = R"({"service":")" + this->service + R"(","address":")" +
                       this->replica.text() + R"(","zone":"zone-1","version":"v1","slots":)" +
                       std::to_string(this->slots) +
                       R"(,"state":"ready","coldLeftMs":0,"stage":"both","born":)" +
                       std::to_string(this->born) + R"(,"seq":)" + std::to_string(++this->sequence);
    if (!this->model.empty()) {
        text += R"(,"models":[{"name":")" + this->model + R"(","version":1,"adapters":[]}])";
    }
    return text + "}";
}

void announcer::run() {
    std::size_t keeper = 0;
    auto next = steady::now();
    while (!this->is_stopping) {
        if (steady::now() < next) {
            pause_for(milliseconds(20));
            continue;
        }
        const http_request beat{"POST",
                                "/kingcupcart/replicas/" + this->id + "/heartbeat",
                                {{"Content-Type", "application/json"}},
                                this->body()};
        const address& target = this->keepers[keeper % this->keepers.size()];
        const int status = call(target, beat, acknowledgement_limit).status;
        if (status / 100 == 2) {
            next += heartbeat_interval;
        } else {
            ++keeper;
            next = steady::now() + milliseconds(100);
        }
    }
}

bool announcer::deregister(milliseconds time_limit) {
    this->stop();
    this->record.write("replica " + this->id + " asks to deregister");
    const http_request leave{"POST",
                             "/kingcupcart/replicas/" + this->id + "/deregister",
                             {{"Content-Type", "application/json"}},
                             R"({"born":)" + std::to_string(this->born) + R"(,"seq":)" +
                                 std::to_string(++this->sequence) + "}"};
    return call_control(this->keepers, this->record, leave, time_limit).status == 200;
}

} // namespace review
