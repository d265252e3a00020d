#pragma once

#include "base/ids.h"
#include "batch/commands.h"
#include "batch/item_result.h"
#include "task/wakeup.h"

#include <cstddef>
#include <functional>
#include <map>

namespace kingcupcart::store {

/// Results that wait to be agreed: those that end in one turn of the loop become one command a job,
/// since every command costs each other store a message.
class result_list {
public:
    explicit result_list(std::function<void(batch::list_results)> submit);

    void add(const job_id& job, batch::item_result result);

    /// Text in one command, in bytes, where it holds more than one result: what a link sends in a
    /// few milliseconds.
    static constexpr std::size_t command_bytes = 256UL * 1024;

private:
    void submit_all();

    std::function<void(batch::list_results)> submit;
    std::map<job_id, batch::list_results> waiting;
    std::map<job_id, std::size_t> sizes;
    task::wakeup turn;
};

} // namespace kingcupcart::store
