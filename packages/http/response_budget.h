#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace kingcupcart::telemetry {
class metric_set;
}

namespace kingcupcart::http {

/// The memory of the responses that a task receives, over all calls of all its clients. While they
/// exceed the limit, the call that holds most is ended, so that a small response is never cut for
/// a large one. Not thread-safe.
class response_budget {
public:
    explicit response_budget(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

    /// What one call holds of its response. Given back when the call is destroyed.
    class share {
    public:
        /// `end_call` ends the call because the budget is short; the argument says why. It may
        /// destroy the share.
        share(std::shared_ptr<response_budget> budget,
              std::function<void(const std::string& reason)> end_call);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Sets the bytes that the call holds now. Where they have grown, calls may be ended
        /// before this function returns, also this one.
        void set(std::size_t bytes);
        /// The response is complete: the call holds it, but can't be ended any more.
        void complete() { this->is_complete = true; }
        [[nodiscard]] std::size_t bytes() const { return this->held_bytes; }

    private:
        friend class response_budget;

        std::shared_ptr<response_budget> budget;
        std::function<void(const std::string&)> end_call;
        std::size_t held_bytes = 0;
        bool is_complete = false;
    };

    /// Bytes held of all responses now, and the most at any time.
    [[nodiscard]] std::size_t held_bytes() const { return this->total_bytes; }
    [[nodiscard]] std::size_t peak_bytes() const { return this->most_bytes; }
    /// Responses that were cut because they exceeded a limit.
    [[nodiscard]] std::uint64_t cut_count() const { return this->cut_responses; }
    void count_cut() { ++this->cut_responses; }
    void export_metrics(telemetry::metric_set& metrics) const;

private:
    void resize(share& changed, std::size_t bytes);
    void end_largest_calls();
    /// Null if no call can be ended.
    [[nodiscard]] share* largest_share() const;

    std::size_t limit_bytes;
    std::size_t total_bytes = 0;
    std::size_t most_bytes = 0;
    std::uint64_t cut_responses = 0;
    /// Those that hold anything.
    std::unordered_set<share*> shares;
};

} // namespace kingcupcart::http
