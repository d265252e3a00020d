#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/location.h"
#include "base/response_limits.h"
#include "batch/item_rank.h"
#include "batch/item_result.h"
#include "batch/job_record.h"
#include "batch/job_state_machine.h"
#include "batch/score_scheduler.h"
#include "engines/target_protocol.h"
#include "fleet/keeper_client.h"
#include "forwarding/forwarder.h"
#include "http/response_budget.h"
#include "task/wakeup.h"
#include "telemetry/metric_set.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace kingcupcart::store {

/// Executes the actions of the score scheduler: requests the scores of completed texts. Exists only
/// while this store leads; texts without a score are lost with it and generated again.
class score_runner {
public:
    struct parameters {
        location place;
        const clock* time = nullptr;
        std::uint64_t seed = 0;
        engines::target_protocol protocol;
        fleet::keeper_client* fleet = nullptr;
        const batch::job_state_machine* state_machine = nullptr;
        telemetry::metric_set* metrics = nullptr;
        response_limits limits;
        /// Receives each result with its score, and those of items that were given up.
        std::function<void(const job_id&, batch::item_result)> on_result;
        /// Memory of the responses, shared with the other clients of the task.
        std::shared_ptr<http::response_budget> budget = nullptr;
    };

    explicit score_runner(parameters arguments);
    ~score_runner();
    score_runner(const score_runner&) = delete;
    score_runner& operator=(const score_runner&) = delete;

    /// Requests the score of a complete text, whose item has a scorer.
    void add(const job_id& job, batch::item_result text, batch::item_rank rank);
    /// Items of an ended job receive no further requests. Their texts are retained for a while,
    /// since items often recur in the next job.
    void close(const job_id& job);
    /// Requests the scores of retained texts that the new job can use. Returns their items, which
    /// need no run.
    std::vector<item_id> resume(const batch::job_record& record);
    void routes_changed();
    void target_changed(const membership::directory_change& change);
    void permits_changed(const target_id& target) { this->forwarder.permits_changed(target); }

    [[nodiscard]] std::size_t pending_count() const { return this->scheduler.pending_count(); }

private:
    struct unscored_text {
        job_id job;
        batch::item_result result;
        /// When the job ended; `time_point::max()` while it is open.
        time_point closed_at = time_point::max();
    };

    void dispatch(const batch::score_message& message);
    void process_inbox();
    void on(const batch::request_score& action);
    void on(const batch::score_given_up& action);
    void handle_response(const item_id& item, const http::response_head& head);
    void fail(const item_id& item, batch::score_failure failure, const std::string& reason);
    [[nodiscard]] const batch::job_item* find_item(const job_id& job, const item_id& item) const;
    /// Failed requests after which the item is given up.
    [[nodiscard]] std::size_t max_failures(const batch::job& job,
                                           const batch::score_request& scorer) const;
    void erase_expired_texts();

    parameters params;
    batch::score_scheduler scheduler;
    forwarding::forwarder forwarder;
    std::unordered_map<item_id, unscored_text> texts;
    /// Messages that arrive while another message is being processed.
    std::deque<batch::score_message> inbox;
    bool is_processing = false;
    task::wakeup scheduler_timer;
};

} // namespace kingcupcart::store
