#include "store/internal/item_run.h"

#include <spdlog/spdlog.h>

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

item_run::item_run(parameters arguments, listener notify)
    : params(std::move(arguments)), notify(std::move(notify)) {}

item_run::~item_run() = default;

void item_run::start(http::client& client, const http::request& wanted) {
    this->call = client.start(
        wanted,
        {[] {}, [this](const http::answer_head& head) { this->take_head(head); },
         [this](std::string_view data) { this->take_data(data); },
         [this](http::call_end how, const std::string& reason) { this->end(how, reason); }});
}

void item_run::stop() {
    this->is_over = true;
    this->call.reset();
}

void item_run::take_head(const http::answer_head& head) {
    if (this->is_over) {
        return;
    }
    const auto kind = this->params.port.judge(head, this->params.order.item.value());
    if (kind == engines::answer_kind::not_run) {
        this->refusal = batch::run_failure::declined;
    } else if (kind == engines::answer_kind::foreign) {
        this->fail(batch::run_failure::broken, "answer of another request");
    } else if (head.status == status_unprocessable) {
        this->refusal = batch::run_failure::impossible;
    } else if (head.status == status_server_error) {
        this->refusal = batch::run_failure::failed;
    } else if (head.status != status_ok) {
        this->refusal = batch::run_failure::broken;
    } else {
        this->version = this->params.port.version_of(head);
        // One that goes on after the item's last event has no more events to name weights for.
        const bool may_be_empty = this->params.order.resume_after > 0;
        if (!this->version && this->params.needs_versions && !may_be_empty) {
            this->fail(batch::run_failure::broken, "the stream does not name its weights");
        } else if (this->version && *this->version < this->params.oldest_version) {
            this->fail(batch::run_failure::stale,
                       "weights " + std::to_string(this->version->value()));
        }
    }
}

void item_run::take_data(std::string_view data) {
    if (this->is_over || this->refusal) {
        return;
    }
    bool has_events = false;
    for (const completions::server_event& raw : this->parser.feed_events(data)) {
        const auto event = this->params.port.read_event(raw);
        if (event && event->version) {
            this->version = event->version;
        }
        if (!this->version && this->params.needs_versions) {
            this->fail(batch::run_failure::broken, "the stream does not name its weights");
            return;
        }
        if (!event ||
            !this->params.text->append(*event, this->version.value_or(weight_version()))) {
            this->fail(batch::run_failure::broken, "an event is malformed or out of order");
            return;
        }
        has_events = true;
    }
    if (has_events) {
        const auto& versions = this->params.text->versions;
        this->notify(batch::run_progressed{this->params.order.run, this->params.text->last_event,
                                           *versions.begin(), *versions.rbegin()});
    }
}

void item_run::end(http::call_end how, const std::string& reason) {
    if (this->is_over) {
        return;
    }
    if (this->refusal) {
        this->fail(*this->refusal, "the engine's answer");
    } else if (how == http::call_end::unreachable) {
        this->fail(batch::run_failure::broken, reason);
    } else if (how != http::call_end::complete || !this->parser.is_between_events() ||
               this->params.text->last_event == 0) {
        this->fail(batch::run_failure::broken, reason.empty() ? "cut short" : reason);
    } else {
        this->is_over = true;
        spdlog::info(
            "run ended item={} job={} engine={} outcome=completed events={} versions={}..{}",
            this->params.order.item.value(), this->params.order.job.value(),
            this->params.order.engine.value(), this->params.text->last_event,
            this->params.text->versions.begin()->value(),
            this->params.text->versions.rbegin()->value());
        this->notify(batch::run_completed{this->params.order.run});
    }
}

void item_run::fail(batch::run_failure failure, const std::string& reason) {
    this->is_over = true;
    spdlog::info("run ended item={} job={} engine={} outcome={} events={} reason=\"{}\"",
                 this->params.order.item.value(), this->params.order.job.value(),
                 this->params.order.engine.value(), to_string(failure),
                 this->params.text->last_event, reason);
    this->notify(batch::run_failed{this->params.order.run, failure});
}

} // namespace kingcupcart::store
