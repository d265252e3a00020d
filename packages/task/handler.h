#pragma once

#include <concepts>
#include <utility>

namespace kingcupcart::task {

/// What runs inside a task: made, told messages and destroyed on the task's own thread.
template <typename Candidate>
concept handler = requires(Candidate subject, typename Candidate::message incoming) {
    { subject.handle(std::move(incoming)) } -> std::same_as<void>;
};

} // namespace kingcupcart::task
