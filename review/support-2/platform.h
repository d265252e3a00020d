// The platform's part that ends processes for their memory.
#pragma once

#include "support.h"

namespace rv {

/// The part of a process's memory that is its own, in kB: less than what it uses in all.
inline long own_memory_kb(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("RssAnon:", 0) == 0) {
            return std::atol(line.c_str() + 8);
        }
    }
    return 0;
}

/// Ends processes that exceed `memoryMb`, and starts them again after a short delay.
class platform {
public:
    explicit platform(fleet& own) : machines(own), worker([this] { this->run(); }) {}
    ~platform() {
        this->is_over = true;
        this->worker.join();
    }
    int ends_of(const std::string& name) {
        const std::lock_guard lock(this->mutex);
        return this->ends[name];
    }

private:
    void run() {
        std::map<std::string, long> restarts;
        while (!this->is_over) {
            for (auto& [name, process] : this->machines.processes) {
                if (process->pid < 0) {
                    if (now_ms() > restarts[name]) {
                        process->start();
                    }
                    continue;
                }
                const long limit = name[0] == 'e'   ? this->machines.entry_mb
                                   : name[0] == 's' ? this->machines.store_mb
                                                    : this->machines.keeper_mb;
                const long used = own_memory_kb(process->pid);
                if (used > limit * 1024) {
                    RECORD("platform: %s uses %ld of %ld MB and is killed", name.c_str(),
                           used / 1024, limit);
                    process->kill();
                    restarts[name] = now_ms() + 300;
                    const std::lock_guard lock(this->mutex);
                    ++this->ends[name];
                }
            }
            sleep_ms(2);
        }
    }

    fleet& machines;
    std::mutex mutex;
    std::map<std::string, int> ends;
    std::atomic<bool> is_over{false};
    std::thread worker;
};

} // namespace rv
