#pragma once

#include "base/outcome.h"
#include "task/task.h"

#include <memory>
#include <utility>
#include <variant>

namespace kingcupcart::task {

/// Starts the task and creates its handler on the task's thread by `Handler::open`. Returns the
/// error of `open` on the calling thread. The handler is valid until the task stops.
template <handler Handler>
outcome<Handler*> start_task(task<Handler>& runner, typename Handler::parameters arguments) {
    Handler* created = nullptr;
    error problem;
    const bool is_running = runner.start([&] {
        auto opened = value_or_error([&] { return Handler::open(std::move(arguments)); });
        if (auto* failure = std::get_if<error>(&opened)) {
            problem = *failure;
            return std::unique_ptr<Handler>();
        }
        auto handler = std::move(std::get<std::unique_ptr<Handler>>(opened));
        created = handler.get();
        return handler;
    });
    if (!is_running) {
        return fail(problem.code, problem.message);
    }
    return created;
}

} // namespace kingcupcart::task
