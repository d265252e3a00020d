#pragma once

#include <concepts>
#include <utility>

namespace kingcupcart::task {

/// An object that a task runs: created, handed messages and destroyed on the task's thread.
template <typename Candidate>
concept handler = requires(Candidate subject, typename Candidate::message incoming) {
    { subject.handle(std::move(incoming)) } -> std::same_as<void>;
};

} // namespace kingcupcart::task
