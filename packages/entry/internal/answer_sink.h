#pragma once

#include "entry/internal/problem.h"
#include "requests/recorded_answer.h"

#include <functional>

namespace kingcupcart::entry {

/// Where a service's answer goes: a caller's connection, or the instance that forwarded the call.
class answer_sink {
public:
    virtual ~answer_sink() = default;
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;

    /// A whole answer, or the record of why there is none.
    virtual void answer(const requests::recorded_answer& answer) = 0;
    virtual void refuse(const problem& refusal) = 0;
    virtual void on_left(std::function<void()> callback) = 0;
};

} // namespace kingcupcart::entry
