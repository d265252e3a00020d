#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "batch/item_rank.h"
#include "batch/score_actions.h"
#include "batch/score_limits.h"
#include "batch/score_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace kingcupcart::batch {

/// Decides when the score of each completed text is requested, in which order, and what follows
/// from the response.
///
/// Answers this load pattern: the items of a step complete in waves of hundreds, while the grading
/// service also serves callers, who expect its usual latency. The number of requests in progress
/// follows a limit that is learned from the responses (additive increase, multiplicative decrease):
/// it shrinks when they take longer than usual, and to single requests while the service is down.
/// The items that the trainer waits for come first.
///
/// A state machine that performs no I/O.
class score_scheduler {
public:
    explicit score_scheduler(score_limits limits = {});

    [[nodiscard]] score_actions handle(const score_message& incoming, time_point now);
    /// When `timer_expired` is due next; empty if no request waits to be repeated.
    [[nodiscard]] std::optional<time_point> next_wakeup() const;

    /// Number of texts without a score.
    [[nodiscard]] std::size_t pending_count() const { return this->texts.size(); }
    [[nodiscard]] std::size_t requests_in_progress() const { return this->in_progress; }
    /// The learned limit of requests in progress.
    [[nodiscard]] std::size_t concurrency() const;

private:
    /// Rank, then order of completion.
    using queue_position = std::pair<item_rank, std::uint64_t>;

    struct pending_text {
        text_completed spec;
        queue_position position;
        bool is_requested = false;
        bool is_job_closed = false;
        time_point requested_at{};
        std::size_t requests = 0;
        std::size_t failures = 0;
        duration next_delay{};
    };

    void on(const text_completed& completed);
    void on(const job_closed& closed);
    void on(const score_received& received);
    void on(const score_failed& failed);
    void on(const timer_expired& expired);
    void start_requests();
    /// Ends the text's request; null if it has none.
    pending_text* end_request(const item_id& item);
    void remove(const item_id& item);
    void record_latency(duration latency);
    void decrease_concurrency(double lower_bound);

    score_limits limits;
    std::unordered_map<item_id, pending_text> texts;
    std::map<queue_position, item_id> waiting;
    /// Texts whose request is to be repeated, by the time of the repetition.
    std::multimap<time_point, item_id> delayed;
    std::uint64_t last_number = 0;
    std::size_t in_progress = 0;
    double limit;
    time_point last_decrease{};
    /// Moving average of the latency, and its lowest value; zero before the first response.
    duration mean_latency{};
    duration lowest_mean_latency{};
    int latencies_recorded = 0;
    time_point now{};
    score_actions output;
};

} // namespace kingcupcart::batch
