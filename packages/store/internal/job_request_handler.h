#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/wall_clock.h"
#include "group/group.h"
#include "store/internal/store_codec.h"
#include "task/wakeup.h"
#include "wire/messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace kingcupcart::store {

/// Serves the gateways' requests about batch jobs while this store leads and has applied every
/// command that earlier leaders committed. Responds with `unsure` otherwise.
class job_request_handler {
public:
    using store_group = group::group<store_codec>;

    struct parameters {
        const clock* time = nullptr;
        const wall_clock* wall = nullptr;
        store_group* replicated_group = nullptr;
        std::chrono::milliseconds retention{};
        /// Whether all stores that are connected can read a job's account.
        std::function<bool()> can_store_accounts;
        /// Sends to the instance at the other end of the link with this number.
        std::function<void(std::uint64_t link, const wire::message&)> send;
    };

    explicit job_request_handler(parameters arguments);

    /// Returns false if the message is not a request about batch jobs.
    bool handle(std::uint64_t link, const wire::message& message);
    void set_serving(bool is_serving);
    [[nodiscard]] bool is_serving() const { return this->serving; }
    /// Responds to the pending reads of a job that has new results or has ended.
    void job_changed(const job_id& job);

private:
    /// A read that waits for results until its deadline.
    struct pending_read {
        std::uint64_t link = 0;
        wire::read_results_request request;
        time_point deadline{};
    };

    void on(std::uint64_t link, const wire::submit_job_request& request);
    void on(std::uint64_t link, const wire::read_results_request& request);
    void on(std::uint64_t link, const wire::item_body_request& request);
    void on(std::uint64_t link, const wire::end_job_request& request);
    /// The job, if the account may know of it; otherwise null, as for one that does not exist.
    [[nodiscard]] const batch::job_record* find(const job_id& job,
                                                const account_name& caller) const;
    void send_status(std::uint64_t link, std::uint64_t call_number, wire::batch_status status);
    /// Serves a call about an unknown job: looks it up again once a majority has confirmed that the
    /// state holds all committed commands, so that `missing` is never based on outdated state.
    template <typename Request>
    void serve_after_confirmation(std::uint64_t link, const Request& request);
    void serve(std::uint64_t link, const wire::read_results_request& request,
               const batch::job_record& record);
    void serve(std::uint64_t link, const wire::item_body_request& request,
               const batch::job_record& record);
    void serve(std::uint64_t link, const wire::end_job_request& request,
               const batch::job_record& record);
    void expire_pending_reads();
    [[nodiscard]] bool can_serve() const;

    parameters params;
    bool serving = false;
    std::vector<pending_read> pending_reads;
    task::wakeup expiry_timer;
};

} // namespace kingcupcart::store
