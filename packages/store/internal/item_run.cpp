#include "store/internal/item_run.h"

#include <spdlog/spdlog.h>

#include <cstdint>
#include <utility>

namespace kingcupcart::store {

namespace {

constexpr int status_ok = 200;
constexpr int status_unprocessable = 422;
constexpr int status_server_error = 500;

const char* to_string(batch::run_failure failure) {
    switch (failure) {
    case batch::run_failure::declined:
        return "declined";
    case batch::run_failure::failed:
        return "failed";
    case batch::run_failure::impossible:
        return "impossible";
    case batch::run_failure::broken:
        return "broken";
    case batch::run_failure::stale:
        return "stale";
    }
    return "?";
}

} // namespace

item_run::item_run(parameters arguments, callback notify)
    : params(std::move(arguments)), notify(std::move(notify)) {}

item_run::~item_run() = default;

void item_run::start(http::client& client, const http::request& request) {
    this->call = client.start(
        request, {[] {}, [this](const http::response_head& head) { this->on_head(head); },
                  [this](std::string_view data) { this->on_data(data); },
                  [this](http::call_result completion, const std::string& reason) {
                      this->on_end(completion, reason);
                  }});
}

void item_run::stop() {
    this->is_over = true;
    this->call.reset();
}

void item_run::on_head(const http::response_head& head) {
    if (this->is_over) {
        return;
    }
    this->params.head_received(head);
    if (this->is_over) {
        return;
    }
    const auto kind =
        this->params.protocol.classify_response(head, this->params.action.item.value());
    if (kind == engines::response_kind::not_run) {
        this->refusal = batch::run_failure::declined;
    } else if (kind == engines::response_kind::mismatched) {
        this->fail(batch::run_failure::broken, "the response belongs to another request");
    } else if (head.status == status_unprocessable) {
        this->refusal = batch::run_failure::impossible;
    } else if (head.status == status_server_error) {
        this->refusal = batch::run_failure::failed;
    } else if (head.status != status_ok) {
        this->refusal = batch::run_failure::broken;
    } else {
        this->version = this->params.protocol.weight_version_of(head);
        // A run resumed after the item's last event yields no events, so no weight version is due.
        const bool may_be_empty = this->params.action.resume_after > 0;
        if (!this->version && this->params.needs_versions && !may_be_empty) {
            this->fail(batch::run_failure::broken, "the stream does not state its weight version");
        } else if (this->version && *this->version < this->params.oldest_version) {
            this->fail(batch::run_failure::stale,
                       "outdated weights, version " + std::to_string(this->version->value()));
        }
    }
}

void item_run::on_data(std::string_view data) {
    if (this->is_over || this->refusal) {
        return;
    }
    bool has_events = false;
    std::string problem;
    for (const completions::server_sent_event& raw : this->parser.feed_events(data)) {
        const auto event = this->params.protocol.parse_event(raw);
        if (event && event->version) {
            this->version = event->version;
        }
        if (!this->version && this->params.needs_versions) {
            problem = "the stream does not state its weight version";
            break;
        }
        if (!event ||
            !this->params.text->append(*event, this->version.value_or(weight_version()))) {
            problem = "a stream event is malformed or out of order";
            break;
        }
        has_events = true;
    }
    if (problem.empty() && this->parser.is_over_limit()) {
        problem = "a stream event is larger than the limit";
    }
    if (has_events) {
        // Also before a failure: the next run resumes after the last event that was reported.
        const auto& versions = this->params.text->versions;
        this->notify(batch::run_progressed{this->params.action.run, this->params.text->last_event,
                                           *versions.begin(), *versions.rbegin()});
    }
    if (this->is_over) {
        return;
    }
    if (problem.empty()) {
        this->call->set_held_bytes(this->params.text->text.size() + this->parser.buffered_bytes());
    } else {
        this->fail(batch::run_failure::broken, problem);
    }
}

void item_run::on_end(http::call_result completion, const std::string& reason) {
    if (this->is_over) {
        return;
    }
    if (this->refusal) {
        this->fail(*this->refusal, "the engine sent an error response");
    } else if (completion == http::call_result::unreachable) {
        this->fail(batch::run_failure::broken, reason);
    } else if (completion != http::call_result::complete || !this->parser.is_between_events() ||
               this->params.text->last_event == 0) {
        this->fail(batch::run_failure::broken, reason.empty() ? "the stream ended early" : reason);
    } else {
        this->is_over = true;
        // A run resumed after the item's last event has no events, and no versions if an earlier
        // run was carried out elsewhere.
        const auto& versions = this->params.text->versions;
        const std::uint64_t oldest = versions.empty() ? 0 : versions.begin()->value();
        const std::uint64_t newest = versions.empty() ? 0 : versions.rbegin()->value();
        spdlog::info(
            "run ended item={} job={} engine={} outcome=completed events={} versions={}..{}",
            this->params.action.item.value(), this->params.action.job.value(),
            this->params.action.engine.value(), this->params.text->last_event, oldest, newest);
        this->notify(batch::run_completed{this->params.action.run});
    }
}

void item_run::fail(batch::run_failure failure, const std::string& reason) {
    this->is_over = true;
    spdlog::info("run ended item={} job={} engine={} outcome={} events={} reason=\"{}\"",
                 this->params.action.item.value(), this->params.action.job.value(),
                 this->params.action.engine.value(), to_string(failure),
                 this->params.text->last_event, reason);
    this->notify(batch::run_failed{this->params.action.run, failure});
}

} // namespace kingcupcart::store
