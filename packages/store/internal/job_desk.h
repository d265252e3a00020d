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

/// Answers calls about batch jobs, while this store leads and holds all that was agreed before it
/// led.
class job_desk {
public:
    using store_group = group::group<store_codec>;

    struct parameters {
        const clock* time = nullptr;
        const wall_clock* wall = nullptr;
        store_group* replicated_group = nullptr;
        std::chrono::milliseconds retention{};
        /// To the instance behind the link with this number.
        std::function<void(std::uint64_t link, const wire::message&)> send;
    };

    explicit job_desk(parameters arguments);

    /// False where the message is no call about batch jobs.
    bool handle(std::uint64_t link, const wire::message& said);
    void set_serving(bool is_serving);
    [[nodiscard]] bool is_serving() const { return this->serving; }
    /// Something of the job was listed, or it was ended.
    void job_changed(const job_id& job);

private:
    struct parked_read {
        std::uint64_t link = 0;
        wire::read_results_request asked;
        time_point due{};
    };

    void on(std::uint64_t link, const wire::submit_job_request& call);
    void on(std::uint64_t link, const wire::read_results_request& call);
    void on(std::uint64_t link, const wire::item_body_request& call);
    void on(std::uint64_t link, const wire::end_job_request& call);
    void answer(std::uint64_t link, std::uint64_t call, wire::batch_status status);
    /// Answers `missing` only once a majority has confirmed that nothing newer was agreed.
    void confirm(std::uint64_t link, const wire::message& call, std::uint64_t number);
    void answer_results(std::uint64_t link, const wire::read_results_request& call,
                        const batch::job_record& record);
    void answer_body(std::uint64_t link, const wire::item_body_request& call,
                     const batch::job_record& record);
    void end_waits();
    [[nodiscard]] bool may_answer() const;

    parameters params;
    bool serving = false;
    std::vector<parked_read> parked;
    task::wakeup timer;
};

} // namespace kingcupcart::store
