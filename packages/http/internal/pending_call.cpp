#include "http/internal/pending_call.h"

#include "http/internal/client_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace kingcupcart::http {

namespace {

/// Maximum remainder of a response that is read so that its connection can be reused, and the time
/// for it. Closing the connection costs less than reading more.
constexpr std::size_t drain_limit_bytes = 65536;
constexpr duration drain_limit_time = std::chrono::seconds(5);
/// Reads from one connection in one iteration of the event loop, while each fills the buffer.
constexpr int max_reads_per_iteration = 4;
/// Shortest time between two looks at what the server's kernel has acknowledged.
constexpr duration min_silence_interval = std::chrono::milliseconds(10);

} // namespace

client::call::state::state(const request& outgoing, callbacks notify,
                           std::shared_ptr<shared_state> owner)
    : owner(std::move(owner)),
      notify(std::move(notify)),
      parser(this->owner->limits, outgoing.method == "HEAD"),
      budget_share(this->owner->budget, [this](const std::string& reason) { this->cut(reason); }),
      drain_timer([this] { this->abort(); }),
      opening_timer([this] { this->check_opening(); }),
      silence_timer([this] { this->check_acknowledgement(); }),
      max_response_bytes(outgoing.max_response_bytes),
      open_timeout(outgoing.open_timeout > duration::zero() ? outgoing.open_timeout
                                                            : this->owner->open_timeout),
      is_repeatable(outgoing.repeatable) {}

client::call::state::~state() = default;

void client::call::state::start() {
    if (this->is_over) {
        return;
    }
    this->owner->add_open(this->shared_from_this());
    if (this->is_repeatable) {
        this->link = this->owner->idle_connections.take(this->outgoing.server);
    }
    if (this->link) {
        this->link->set_handler([self = this->shared_from_this()] { self->on_ready(); });
        this->start_writing();
    } else {
        this->start_connecting();
    }
}

void client::call::state::start_connecting() {
    this->dialled_at = this->owner->time.now();
    auto dialled = value_or_error([&] { return connection::dial(this->outgoing.server); });
    if (const auto* problem = std::get_if<error>(&dialled)) {
        this->finish(call_result::unreachable, problem->message);
        return;
    }
    this->link = std::get<std::unique_ptr<connection>>(std::move(dialled));
    this->is_connecting = true;
    if (this->open_timeout > duration::zero()) {
        this->opening_timer.arm(this->dialled_at + this->open_timeout);
    }
    this->link->set_handler([self = this->shared_from_this()] { self->on_ready(); });
    this->link->await_writable(true);
}

void client::call::state::start_writing() {
    this->notify.on_write_started();
    if (this->is_over) {
        return;
    }
    if (this->notify.on_silent && this->owner->silence_limit > duration::zero()) {
        this->silence_timer.arm(this->owner->time.now() + this->owner->silence_limit);
    }
    this->write_some();
}

void client::call::state::check_opening() {
    const auto self = this->shared_from_this();
    // If this process was held up, the connection may have opened in time.
    if (this->link->has_connected()) {
        this->on_ready();
        return;
    }
    this->finish(call_result::unreachable,
                 "connection not open after " +
                     std::to_string(this->open_timeout / std::chrono::milliseconds(1)) + " ms");
}

void client::call::state::check_acknowledgement() {
    const auto self = this->shared_from_this();
    if (this->is_over || this->has_write_failed) {
        return;
    }
    const connection::send_state sending = this->link->sending();
    if (sending.unacknowledged_bytes == 0 && this->outgoing.bytes.empty()) {
        return;
    }
    if (this->is_silent(sending)) {
        this->notify.on_silent();
        return;
    }
    const duration limit = this->owner->silence_limit;
    const duration passed = sending.since_acknowledgement.value_or(duration::zero());
    this->silence_timer.arm(
        this->owner->time.now() +
        (passed < limit ? std::max(limit - passed, min_silence_interval) : limit));
}

bool client::call::state::is_silent(const connection::send_state& sending) const {
    if (sending.since_acknowledgement) {
        return sending.is_in_flight && *sending.since_acknowledgement >= this->owner->silence_limit;
    }
    // The bytes alone don't tell a full receive window, but that has taken part of the request.
    return sending.unacknowledged_bytes > 0 && sending.unacknowledged_bytes >= this->written_bytes;
}

void client::call::state::write_some() {
    const std::string_view unwritten =
        std::string_view(this->outgoing.bytes).substr(this->written_bytes);
    const auto written = value_or_error([&] { return this->link->write(unwritten); });
    if (std::holds_alternative<error>(written)) {
        // The server may have responded before it closed the connection. The next read tells.
        this->has_write_failed = true;
        this->link->await_writable(false);
        return;
    }
    this->written_bytes += std::get<std::size_t>(written);
    const bool is_written = this->written_bytes == this->outgoing.bytes.size();
    this->link->await_writable(!is_written);
    if (is_written) {
        this->outgoing.bytes = std::string();
        if (this->is_paused) {
            this->link->stop_reading();
        }
    }
}

void client::call::state::on_ready() {
    if (this->is_connecting) {
        this->is_connecting = false;
        this->opening_timer.disarm();
        const auto connected = value_or_error([&] { return this->link->finish_connecting(); });
        if (const auto* problem = std::get_if<error>(&connected)) {
            this->finish(call_result::unreachable, problem->message);
            return;
        }
        if (!this->is_over && this->notify.on_open) {
            this->notify.on_open(this->owner->time.now() - this->dialled_at);
        }
        if (!this->is_over) {
            this->start_writing();
        }
        return;
    }
    if (!this->outgoing.bytes.empty() && !this->has_write_failed) {
        this->write_some();
    }
    this->read_some();
}

void client::call::state::read_some() {
    for (int i = 0; i < max_reads_per_iteration && this->read_once(); ++i) {
    }
}

bool client::call::state::read_once() {
    const connection::read_result received = this->link->read();
    switch (received.status) {
    case connection::read_status::would_block:
        return false;
    case connection::read_status::failed:
        this->finish(call_result::broken, received.problem);
        return false;
    case connection::read_status::reset_by_peer:
        this->finish(this->parser.is_well_formed() ? call_result::disconnected
                                                   : call_result::broken,
                     received.problem);
        return false;
    case connection::read_status::closed_by_peer:
        if (this->has_write_failed) {
            // The failed write has reported a reset, which would otherwise look like an orderly
            // end.
            this->finish(this->parser.is_well_formed() ? call_result::disconnected
                                                       : call_result::broken,
                         "the connection failed during the request");
            return false;
        }
        this->parser.finish();
        break;
    case connection::read_status::data:
        this->silence_timer.disarm();
        this->parser.feed(received.data);
        break;
    }
    const bool may_have_more = received.data.size() == connection::read_buffer_bytes;
    this->process_response();
    return may_have_more && this->link && !this->is_paused;
}

void client::call::state::process_response() {
    this->count_held();
    if (!this->link) {
        return;
    }
    if (this->parser.has_head() && !std::exchange(this->has_delivered_head, true) &&
        !this->is_over) {
        this->notify.on_head(this->parser.head());
    }
    this->deliver_body();
    if (!this->link) {
        return;
    }
    if (this->parser.is_over_limit()) {
        this->cut(this->parser.failure());
    } else if (!this->parser.failure().empty()) {
        this->finish(this->parser.is_cut_short() ? call_result::disconnected : call_result::broken,
                     this->parser.failure());
    } else if (this->parser.is_complete()) {
        this->complete();
    } else if (this->has_delivered_head && this->owner->coalescer && this->outgoing.bytes.empty() &&
               !this->is_paused) {
        this->link->coalesce_reads(this->owner->coalescer);
    }
}

void client::call::state::deliver_body() {
    const std::string body = this->parser.take_body();
    if (body.empty() || !this->link) {
        return;
    }
    if (this->is_draining) {
        this->drained_bytes += body.size();
        if (this->drained_bytes > drain_limit_bytes) {
            this->abort();
        }
        return;
    }
    this->received_bytes += body.size();
    if (this->max_response_bytes > 0 && this->received_bytes > this->max_response_bytes) {
        this->cut("the response is longer than " + std::to_string(this->max_response_bytes) +
                  " bytes");
        return;
    }
    this->owner_bytes += body.size();
    this->count_held();
    if (!this->link) {
        return;
    }
    this->notify.on_data(body);
}

void client::call::state::complete() {
    // The server still waits for the rest of a request that it answered early.
    const bool is_written = this->outgoing.bytes.empty();
    if (is_written && this->parser.can_reuse_connection()) {
        this->owner->idle_connections.add(std::move(this->link), this->parser.keep_alive_time());
    }
    this->finish(call_result::complete, "");
}

void client::call::state::cut(const std::string& reason) {
    this->owner->budget->count_cut();
    spdlog::warn("response cut target={} received_bytes={} held_bytes={} all_held_bytes={} "
                 "reason=\"{}\"",
                 this->outgoing.server.to_string(), this->received_bytes,
                 this->budget_share.bytes(), this->owner->budget->held_bytes(), reason);
    this->finish(call_result::broken, reason);
}

void client::call::state::count_held() {
    this->budget_share.set(this->owner_bytes + this->parser.buffered_bytes());
}

void client::call::state::set_held_bytes(std::size_t bytes) {
    if (this->is_draining) {
        return;
    }
    this->owner_bytes = bytes;
    this->count_held();
}

void client::call::state::set_paused(bool paused) {
    if (paused == std::exchange(this->is_paused, paused) || !this->link || this->is_connecting) {
        return;
    }
    if (!paused) {
        this->link->read_at_once();
    } else if (this->outgoing.bytes.empty()) {
        this->link->stop_reading();
    }
}

void client::call::state::finish(call_result result, const std::string& reason) {
    const auto self = this->shared_from_this();
    this->close_connection();
    if (result == call_result::complete) {
        this->budget_share.complete();
    } else {
        this->budget_share.set(0);
    }
    if (!std::exchange(this->is_over, true)) {
        const auto on_complete = std::move(this->notify.on_complete);
        on_complete(result, reason);
    }
}

void client::call::state::cancel() {
    if (!this->is_draining) {
        this->abort();
    }
}

void client::call::state::abort() {
    this->is_over = true;
    this->close_connection();
    this->budget_share.set(0);
}

void client::call::state::drain() {
    this->is_draining = !this->is_over;
    this->is_over = true;
    this->owner_bytes = 0;
    this->set_paused(false);
    if (this->is_draining) {
        this->drain_timer.arm(this->owner->time.now() + drain_limit_time);
    }
}

void client::call::state::close_connection() {
    this->is_draining = false;
    this->drain_timer.disarm();
    this->opening_timer.disarm();
    this->silence_timer.disarm();
    this->link.reset();
    this->owner->remove_open(this->shared_from_this());
}

} // namespace kingcupcart::http
