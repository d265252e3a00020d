#pragma once

#include "base/clock.h"
#include "fleet/stream_records.h"
#include "gateway/caller_calls.h"
#include "http/exchange.h"
#include "streams/lookup_result.h"
#include "task/wakeup.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace kingcupcart::gateway {

/// Requests that take up a stream, while it is looked up which replicas may continue that.
class take_ups {
public:
    struct parameters {
        const clock* time = nullptr;
        fleet::stream_records* streams = nullptr;
        /// The lookup has ended. The call's `max_wait` is what is left of it.
        std::function<void(std::unique_ptr<http::exchange>, const routed_call&,
                           const streams::lookup_result&)>
            on_looked_up;
        /// Called after each lookup that has ended, or whose caller disconnected.
        std::function<void()> on_ended;
    };

    explicit take_ups(parameters arguments);
    ~take_ups();
    take_ups(const take_ups&) = delete;
    take_ups& operator=(const take_ups&) = delete;

    /// Looks up the stream that the call resumes. `max_wait` is how long its caller waits.
    void start(std::unique_ptr<http::exchange> exchange, const routed_call& call,
               duration max_wait);

    [[nodiscard]] std::size_t open_count() const { return this->open_calls.size(); }

private:
    struct open_call {
        std::unique_ptr<http::exchange> exchange;
        routed_call call;
        time_point deadline{};
        std::uint64_t lookup = 0;
    };

    void finish(std::uint64_t number, const streams::lookup_result& result);
    void abandon(std::uint64_t number);

    parameters params;
    std::map<std::uint64_t, open_call> open_calls;
    std::uint64_t last_call_number = 0;
    /// Exchanges of callers that disconnected, each of which may still be in one of its own
    /// callbacks.
    std::vector<std::unique_ptr<http::exchange>> pending_deletion;
    task::wakeup cleanup_timer;
};

} // namespace kingcupcart::gateway
