#pragma once

#include "base/ids.h"
#include "batch/commands.h"
#include "batch/item_result.h"
#include "task/wakeup.h"

#include <cstddef>
#include <functional>
#include <map>

namespace kingcupcart::store {

/// Collects item results that are to be replicated: the results of one event loop iteration become
/// one command per job, since each command costs a message to every other store.
class result_buffer {
public:
    explicit result_buffer(std::function<void(batch::append_results)> submit);

    void add(const job_id& job, batch::item_result result);

    /// A command is submitted at once when its text reaches this size, in bytes: as much as a link
    /// sends in a few milliseconds.
    static constexpr std::size_t max_command_bytes = 256UL * 1024;

private:
    void flush();

    std::function<void(batch::append_results)> submit;
    std::map<job_id, batch::append_results> pending;
    /// Text of the pending results of each job, in bytes.
    std::map<job_id, std::size_t> pending_bytes;
    task::wakeup flush_timer;
};

} // namespace kingcupcart::store
