#pragma once

#include "entry/internal/answer_sink.h"

#include <memory>

namespace kingcupcart::http {
class exchange;
}

namespace kingcupcart::entry {

/// Answers a caller who is connected here.
class exchange_sink final : public answer_sink {
public:
    explicit exchange_sink(std::unique_ptr<http::exchange> exchange);
    ~exchange_sink() override;
    exchange_sink(const exchange_sink&) = delete;
    exchange_sink& operator=(const exchange_sink&) = delete;

    void answer(const requests::recorded_answer& answer) override;
    void refuse(const problem& refusal) override;
    void on_left(std::function<void()> callback) override;

private:
    std::unique_ptr<http::exchange> exchange;
};

} // namespace kingcupcart::entry
