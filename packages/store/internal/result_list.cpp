#include "store/internal/result_list.h"

#include <utility>

namespace kingcupcart::store {

result_list::result_list(std::function<void(batch::list_results)> submit)
    : submit(std::move(submit)), turn([this] { this->submit_all(); }) {}

void result_list::add(const job_id& job, batch::item_result result) {
    std::size_t& size = this->sizes[job];
    size += result.text.size();
    batch::list_results& command = this->waiting[job];
    command.job = job;
    command.results.push_back(std::move(result));
    if (size >= command_bytes) {
        batch::list_results full = std::move(command);
        this->waiting.erase(job);
        this->sizes.erase(job);
        this->submit(std::move(full));
        return;
    }
    this->turn.arm_now();
}

void result_list::submit_all() {
    this->sizes.clear();
    for (auto& [job, command] : std::exchange(this->waiting, {})) {
        this->submit(std::move(command));
    }
}

} // namespace kingcupcart::store
