#include "store/internal/job_request_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::store {

namespace {

/// Limit of one response's results, in bytes of text; callers read at most 1 MB at once.
constexpr std::size_t max_response_bytes = 700UL * 1000;

} // namespace

job_request_handler::job_request_handler(parameters arguments)
    : params(std::move(arguments)), expiry_timer([this] { this->expire_pending_reads(); }) {}

bool job_request_handler::handle(std::uint64_t link, const wire::message& message) {
    if (const auto* submission = std::get_if<wire::submit_job_request>(&message)) {
        this->on(link, *submission);
    } else if (const auto* results = std::get_if<wire::read_results_request>(&message)) {
        this->on(link, *results);
    } else if (const auto* body = std::get_if<wire::item_body_request>(&message)) {
        this->on(link, *body);
    } else if (const auto* end_job = std::get_if<wire::end_job_request>(&message)) {
        this->on(link, *end_job);
    } else {
        return false;
    }
    return true;
}

bool job_request_handler::can_serve() const {
    return this->serving && this->params.replicated_group->has_leader_lease();
}

const batch::job_record* job_request_handler::find(const job_id& job,
                                                   const account_name& caller) const {
    const batch::job_record* record = this->params.replicated_group->state().find(job);
    return record != nullptr && record->is_visible_to(caller) ? record : nullptr;
}

void job_request_handler::send_status(std::uint64_t link, std::uint64_t call_number,
                                      wire::batch_status status) {
    wire::batch_response response;
    response.call = call_number;
    response.status = status;
    this->params.send(link, response);
}

void job_request_handler::on(std::uint64_t link, const wire::submit_job_request& request) {
    if (!this->can_serve()) {
        this->send_status(link, request.call, wire::batch_status::not_leader);
        return;
    }
    if (const auto* earlier = this->params.replicated_group->state().find(request.job.id)) {
        const bool is_own = earlier->is_visible_to(request.job.account);
        spdlog::info("job submitted again job={} account={} outcome={}", request.job.id.value(),
                     request.job.account.value(), is_own ? "accepted" : "identifier-in-use");
        this->send_status(link, request.call,
                          is_own ? wire::batch_status::done : wire::batch_status::missing);
        return;
    }
    batch::submit_job command{request.job, this->params.retention};
    command.content.submitted = this->params.wall->now();
    if (!command.content.account.value().empty() && !this->params.can_store_accounts()) {
        spdlog::warn("job stored without its account job={} account={} reason=\"a store's build "
                     "knows no accounts\"",
                     request.job.id.value(), request.job.account.value());
        command.content.account = account_name();
    }
    this->params.replicated_group->submit(
        command, [this, link, call_number = request.call, job = request.job.id,
                  account = request.job.account](const auto& result) {
            wire::batch_status status = wire::batch_status::outcome_unknown;
            if (result) {
                // Another account may have submitted a job with this identifier meanwhile.
                const batch::job_record* stored = this->find(job, account);
                status = stored == nullptr ? wire::batch_status::missing : wire::batch_status::done;
            }
            const char* outcome = !result                              ? "unknown"
                                  : status == wire::batch_status::done ? "accepted"
                                                                       : "identifier-in-use";
            spdlog::info("job submitted job={} account={} outcome={}", job.value(), account.value(),
                         outcome);
            this->send_status(link, call_number, status);
        });
}

void job_request_handler::on(std::uint64_t link, const wire::read_results_request& request) {
    if (!this->can_serve()) {
        this->send_status(link, request.call, wire::batch_status::not_leader);
        return;
    }
    const batch::job_record* record = this->find(request.job, request.account);
    if (record == nullptr) {
        this->serve_after_confirmation(link, request);
        return;
    }
    const bool may_grow = !record->is_ended && !record->is_complete();
    if (request.after >= record->results.size() && may_grow && request.max_wait.count() > 0) {
        this->pending_reads.push_back({link, request, this->params.time->now() + request.max_wait});
        this->expire_pending_reads();
        return;
    }
    this->serve(link, request, *record);
}

void job_request_handler::serve(std::uint64_t link, const wire::read_results_request& request,
                                const batch::job_record& record) {
    wire::batch_response response;
    response.call = request.call;
    response.total = record.content.items.size();
    std::size_t size = 0;
    for (std::size_t i = request.after; i < record.results.size(); ++i) {
        size += record.results[i].text.size();
        if (size > max_response_bytes && !response.results.empty()) {
            break;
        }
        response.results.push_back(record.results[i]);
    }
    this->params.send(link, response);
}

void job_request_handler::on(std::uint64_t link, const wire::item_body_request& request) {
    if (!this->can_serve()) {
        this->send_status(link, request.call, wire::batch_status::not_leader);
        return;
    }
    const batch::job_record* record = this->find(request.job, request.account);
    if (record == nullptr) {
        this->serve_after_confirmation(link, request);
        return;
    }
    this->serve(link, request, *record);
}

void job_request_handler::serve(std::uint64_t link, const wire::item_body_request& request,
                                const batch::job_record& record) {
    const batch::job_item* item = record.find_item(request.item);
    if (item == nullptr || record.is_ended) {
        this->send_status(link, request.call, wire::batch_status::missing);
        return;
    }
    wire::batch_response response;
    response.call = request.call;
    response.body = item->body;
    this->params.send(link, response);
}

void job_request_handler::on(std::uint64_t link, const wire::end_job_request& request) {
    if (!this->can_serve()) {
        this->send_status(link, request.call, wire::batch_status::not_leader);
        return;
    }
    const batch::job_record* record = this->find(request.job, request.account);
    if (record == nullptr) {
        this->serve_after_confirmation(link, request);
        return;
    }
    this->serve(link, request, *record);
}

void job_request_handler::serve(std::uint64_t link, const wire::end_job_request& request,
                                const batch::job_record& /*record*/) {
    this->params.replicated_group->submit(
        batch::end_job{request.job}, [this, link, request](const auto& result) {
            wire::batch_status status = wire::batch_status::outcome_unknown;
            if (result) {
                status = *result == batch::command_result::no_such_job ? wire::batch_status::missing
                                                                       : wire::batch_status::done;
            }
            spdlog::info("job end job={} outcome={}", request.job.value(),
                         result ? "agreed" : "unknown");
            this->send_status(link, request.call, status);
        });
}

template <typename Request>
void job_request_handler::serve_after_confirmation(std::uint64_t link, const Request& request) {
    this->params.replicated_group->submit(
        batch::read_barrier{}, [this, link, request](const auto& result) {
            if (!result) {
                this->send_status(link, request.call, wire::batch_status::not_leader);
            } else if (const auto* record = this->find(request.job, request.account)) {
                this->serve(link, request, *record);
            } else {
                this->send_status(link, request.call, wire::batch_status::missing);
            }
        });
}

void job_request_handler::job_changed(const job_id& job) {
    const batch::job_record* record = this->params.replicated_group->state().find(job);
    if (record == nullptr) {
        return;
    }
    std::erase_if(this->pending_reads, [&](const pending_read& read) {
        const bool is_ready =
            read.request.job == job && (read.request.after < record->results.size() ||
                                        record->is_ended || record->is_complete());
        if (is_ready) {
            this->serve(read.link, read.request, *record);
        }
        return is_ready;
    });
}

void job_request_handler::set_serving(bool is_serving) {
    this->serving = is_serving;
    if (!is_serving) {
        for (const pending_read& read : std::exchange(this->pending_reads, {})) {
            this->send_status(read.link, read.request.call, wire::batch_status::not_leader);
        }
    }
}

void job_request_handler::expire_pending_reads() {
    const time_point now = this->params.time->now();
    time_point next = time_point::max();
    std::erase_if(this->pending_reads, [&](const pending_read& read) {
        if (read.deadline > now) {
            next = std::min(next, read.deadline);
            return false;
        }
        const batch::job_record* record =
            this->params.replicated_group->state().find(read.request.job);
        if (record != nullptr) {
            this->serve(read.link, read.request, *record);
        } else {
            this->send_status(read.link, read.request.call, wire::batch_status::not_leader);
        }
        return true;
    });
    if (next != time_point::max()) {
        this->expiry_timer.arm(next);
    }
}

} // namespace kingcupcart::store
