#include "process/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace kingcupcart::process_tests {

namespace {

constexpr int start_limit_ms = 20000;

} // namespace

child_process::child_process(const std::vector<std::string>& command, const std::string& log) {
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_CLOEXEC) != 0) {
        throw std::runtime_error("no pipe");
    }
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    if (!log.empty()) {
        constexpr mode_t readable = 0644;
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, readable);
    }
    std::vector<char*> words;
    for (const std::string& word : command) {
        words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    const int failure = posix_spawn(&this->pid, words[0], &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(ends[1]);
    this->output = ends[0];
    fcntl(this->output, F_SETFL, O_NONBLOCK);
    if (failure != 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
    this->read_available(true);
    const auto end = this->text.find('\n');
    if (!this->text.starts_with("ready") || end == std::string::npos) {
        throw std::runtime_error(command[0] + " did not become ready");
    }
    this->ready = this->text.substr(0, end) + " ";
    this->text.erase(0, end + 1);
}

child_process::~child_process() {
    if (!this->ended) {
        this->signal(SIGKILL);
        this->wait();
    }
    close(this->output);
}

std::string child_process::value(const std::string& key) const {
    const auto begin = this->ready.find(" " + key + "=");
    if (begin == std::string::npos) {
        throw std::runtime_error("no " + key + " in: " + this->ready);
    }
    const auto from = begin + key.size() + 2;
    return this->ready.substr(from, this->ready.find(' ', from) - from);
}

std::vector<std::string> child_process::lines() {
    this->read_available(false);
    std::istringstream stream(this->text);
    std::vector<std::string> found;
    for (std::string line; std::getline(stream, line);) {
        found.push_back(line);
    }
    return found;
}

void child_process::signal(int number) const {
    kill(this->pid, number);
}

int child_process::wait() {
    if (!this->ended) {
        int status = 0;
        waitpid(this->pid, &status, 0);
        this->keep_end(status);
    }
    return this->exit_code;
}

bool child_process::has_ended() {
    int status = 0;
    if (!this->ended && waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->keep_end(status);
    }
    return this->ended;
}

void child_process::keep_end(int status) {
    this->ended = true;
    this->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void child_process::read_available(bool until_line) {
    std::array<char, 4096> buffer{};
    while (true) {
        const auto size = read(this->output, buffer.data(), buffer.size());
        if (size > 0) {
            this->text.append(buffer.data(), static_cast<std::size_t>(size));
            continue;
        }
        if (size == 0 || !until_line || this->text.find('\n') != std::string::npos) {
            return;
        }
        pollfd waiting{this->output, POLLIN, 0};
        if (poll(&waiting, 1, start_limit_ms) == 0) {
            return;
        }
    }
}

} // namespace kingcupcart::process_tests
