#include "store/internal/result_buffer.h"

#include <utility>

namespace kingcupcart::store {

result_buffer::result_buffer(std::function<void(batch::append_results)> submit)
    : submit(std::move(submit)), flush_timer([this] { this->flush(); }) {}

void result_buffer::add(const job_id& job, batch::item_result result) {
    std::size_t& size = this->pending_bytes[job];
    size += result.text.size();
    batch::append_results& command = this->pending[job];
    command.job = job;
    command.results.push_back(std::move(result));
    if (size >= max_command_bytes) {
        batch::append_results full_command = std::move(command);
        this->pending.erase(job);
        this->pending_bytes.erase(job);
        this->submit(std::move(full_command));
        return;
    }
    this->flush_timer.arm_now();
}

void result_buffer::flush() {
    this->pending_bytes.clear();
    for (auto& [job, command] : std::exchange(this->pending, {})) {
        this->submit(std::move(command));
    }
}

} // namespace kingcupcart::store
