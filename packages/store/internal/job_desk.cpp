#include "store/internal/job_desk.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::store {

namespace {

/// Results in one answer, in bytes of text; users read at most 1 MB at once.
constexpr std::size_t answer_bytes_max = 700UL * 1000;

} // namespace

job_desk::job_desk(parameters arguments)
    : params(std::move(arguments)), timer([this] { this->end_waits(); }) {}

bool job_desk::handle(std::uint64_t link, const wire::message& said) {
    if (const auto* submitted = std::get_if<wire::submit_job_request>(&said)) {
        this->on(link, *submitted);
    } else if (const auto* results = std::get_if<wire::read_results_request>(&said)) {
        this->on(link, *results);
    } else if (const auto* body = std::get_if<wire::item_body_request>(&said)) {
        this->on(link, *body);
    } else if (const auto* ended = std::get_if<wire::end_job_request>(&said)) {
        this->on(link, *ended);
    } else {
        return false;
    }
    return true;
}

bool job_desk::may_answer() const {
    return this->serving && this->params.replicated_group->leads_for_sure();
}

void job_desk::answer(std::uint64_t link, std::uint64_t call, wire::batch_status status) {
    wire::batch_response said;
    said.call = call;
    said.status = status;
    this->params.send(link, said);
}

void job_desk::on(std::uint64_t link, const wire::submit_job_request& call) {
    if (!this->may_answer()) {
        this->answer(link, call.call, wire::batch_status::unsure);
        return;
    }
    if (this->params.replicated_group->state().find(call.job.id) != nullptr) {
        spdlog::info("job repeated job={}", call.job.id.value());
        this->answer(link, call.call, wire::batch_status::done);
        return;
    }
    batch::submit_job command{call.job, this->params.retention};
    command.content.submitted = this->params.wall->now();
    this->params.replicated_group->submit(command, [this, link, number = call.call,
                                                    job = call.job.id](const auto& result) {
        spdlog::info("job submitted job={} outcome={}", job.value(),
                     result ? "accepted" : "unknown");
        this->answer(link, number, result ? wire::batch_status::done : wire::batch_status::unknown);
    });
}

void job_desk::on(std::uint64_t link, const wire::read_results_request& call) {
    if (!this->may_answer()) {
        this->answer(link, call.call, wire::batch_status::unsure);
        return;
    }
    const batch::job_record* record = this->params.replicated_group->state().find(call.job);
    if (record == nullptr) {
        this->confirm(link, call, call.call);
        return;
    }
    const bool may_come = !record->is_ended && !record->is_complete();
    if (call.after >= record->results.size() && may_come && call.max_wait.count() > 0) {
        this->parked.push_back({link, call, this->params.time->now() + call.max_wait});
        this->end_waits();
        return;
    }
    this->answer_results(link, call, *record);
}

void job_desk::answer_results(std::uint64_t link, const wire::read_results_request& call,
                              const batch::job_record& record) {
    wire::batch_response said;
    said.call = call.call;
    said.total = record.content.items.size();
    std::size_t size = 0;
    for (std::size_t i = call.after; i < record.results.size(); ++i) {
        size += record.results[i].text.size();
        if (size > answer_bytes_max && !said.results.empty()) {
            break;
        }
        said.results.push_back(record.results[i]);
    }
    this->params.send(link, said);
}

void job_desk::on(std::uint64_t link, const wire::item_body_request& call) {
    if (!this->may_answer()) {
        this->answer(link, call.call, wire::batch_status::unsure);
        return;
    }
    const batch::job_record* record = this->params.replicated_group->state().find(call.job);
    if (record == nullptr) {
        this->confirm(link, call, call.call);
        return;
    }
    this->answer_body(link, call, *record);
}

void job_desk::answer_body(std::uint64_t link, const wire::item_body_request& call,
                           const batch::job_record& record) {
    const batch::job_item* item = record.find_item(call.item);
    if (item == nullptr || record.is_ended) {
        this->answer(link, call.call, wire::batch_status::missing);
        return;
    }
    wire::batch_response said;
    said.call = call.call;
    said.body = item->body;
    this->params.send(link, said);
}

void job_desk::on(std::uint64_t link, const wire::end_job_request& call) {
    if (!this->may_answer()) {
        this->answer(link, call.call, wire::batch_status::unsure);
        return;
    }
    this->params.replicated_group->submit(batch::end_job{call.job}, [this, link,
                                                                     call](const auto& result) {
        wire::batch_status status = wire::batch_status::unknown;
        if (result) {
            status = *result == batch::command_result::no_such_job ? wire::batch_status::missing
                                                                   : wire::batch_status::done;
        }
        spdlog::info("job end job={} outcome={}", call.job.value(), result ? "agreed" : "unknown");
        this->answer(link, call.call, status);
    });
}

void job_desk::confirm(std::uint64_t link, const wire::message& call, std::uint64_t number) {
    this->params.replicated_group->submit(
        batch::confirm_state{}, [this, link, call, number](const auto& result) {
            if (!result) {
                this->answer(link, number, wire::batch_status::unsure);
                return;
            }
            const auto* results = std::get_if<wire::read_results_request>(&call);
            const auto* body = std::get_if<wire::item_body_request>(&call);
            const batch::job_record* record = this->params.replicated_group->state().find(
                results != nullptr ? results->job : body->job);
            if (record == nullptr) {
                this->answer(link, number, wire::batch_status::missing);
            } else if (results != nullptr) {
                this->answer_results(link, *results, *record);
            } else {
                this->answer_body(link, *body, *record);
            }
        });
}

void job_desk::job_changed(const job_id& job) {
    const batch::job_record* record = this->params.replicated_group->state().find(job);
    if (record == nullptr) {
        return;
    }
    std::erase_if(this->parked, [&](const parked_read& read) {
        const bool is_due = read.asked.job == job && (read.asked.after < record->results.size() ||
                                                      record->is_ended || record->is_complete());
        if (is_due) {
            this->answer_results(read.link, read.asked, *record);
        }
        return is_due;
    });
}

void job_desk::set_serving(bool is_serving) {
    this->serving = is_serving;
    if (!is_serving) {
        for (const parked_read& read : std::exchange(this->parked, {})) {
            this->answer(read.link, read.asked.call, wire::batch_status::unsure);
        }
    }
}

void job_desk::end_waits() {
    const time_point now = this->params.time->now();
    time_point next = time_point::max();
    std::erase_if(this->parked, [&](const parked_read& read) {
        if (read.due > now) {
            next = std::min(next, read.due);
            return false;
        }
        const batch::job_record* record =
            this->params.replicated_group->state().find(read.asked.job);
        if (record != nullptr) {
            this->answer_results(read.link, read.asked, *record);
        } else {
            this->answer(read.link, read.asked.call, wire::batch_status::unsure);
        }
        return true;
    });
    if (next != time_point::max()) {
        this->timer.arm(next);
    }
}

} // namespace kingcupcart::store
