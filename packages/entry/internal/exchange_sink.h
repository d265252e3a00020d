#pragma once

#include "entry/internal/response_sink.h"

#include <memory>

namespace kingcupcart::http {
class exchange;
}

namespace kingcupcart::entry {

/// Sends the response over a caller's connection to this instance.
class exchange_sink final : public response_sink {
public:
    explicit exchange_sink(std::unique_ptr<http::exchange> exchange);
    ~exchange_sink() override;
    exchange_sink(const exchange_sink&) = delete;
    exchange_sink& operator=(const exchange_sink&) = delete;

    void send(const requests::recorded_response& response) override;
    void refuse(const problem& refusal) override;
    void on_disconnect(std::function<void()> callback) override;

private:
    std::unique_ptr<http::exchange> exchange;
};

} // namespace kingcupcart::entry
