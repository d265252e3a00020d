#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace kingcupcart::process_tests {

/// A program started by a test; killed at the end where it still runs.
class child_process {
public:
    /// Starts the program and waits for the first line of its output, which begins with `ready`.
    /// What it writes to standard error is appended to `log`, where that is given.
    explicit child_process(const std::vector<std::string>& command, const std::string& log = "");
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// The value of `key=` on the ready line.
    [[nodiscard]] std::string value(const std::string& key) const;
    /// Lines of output after the ready line, so far.
    [[nodiscard]] std::vector<std::string> lines();
    [[nodiscard]] int id() const { return this->pid; }
    void signal(int number) const;
    /// Whether it has ended; its exit code is `wait`'s.
    [[nodiscard]] bool has_ended();
    /// Waits for the end; the exit code, or minus the signal.
    int wait();

private:
    void read_available(bool until_line);
    void keep_end(int status);

    pid_t pid = -1;
    int output = -1;
    std::string text;
    std::string ready;
    bool ended = false;
    int exit_code = 0;
};

} // namespace kingcupcart::process_tests
