#include "relaying/internal/exchange_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::relaying {

namespace {

/// A response sends no more than this, and one part, before the origin's caller has taken some of
/// it, so that it doesn't fill the link that it shares with others.
constexpr std::size_t window_bytes = 256UL * 1024;

} // namespace

relayed_exchange::state::state(std::uint64_t call, instance_id origin, functions link)
    : call(call), origin_id(std::move(origin)), link(std::move(link)) {}

void relayed_exchange::state::begin(const http::response_head& head, bool is_stream) {
    if (this->is_ended() || this->closed) {
        return;
    }
    this->has_begun_stream = is_stream;
    this->head = wire::relayed_response_head{this->call, head.status, head.content_type,
                                             head.headers, is_stream};
    this->flush();
}

void relayed_exchange::state::append(std::string_view part) {
    if (part.empty() || this->is_ended() || this->closed) {
        return;
    }
    this->parts.emplace_back(part);
    this->waiting_bytes += part.size();
    this->flush();
    this->update_held();
}

void relayed_exchange::state::end() {
    if (this->is_ended() || this->closed) {
        return;
    }
    this->last = wire::relayed_response_end{this->call};
    this->flush();
}

void relayed_exchange::state::fail(bool may_have_run, const std::string& reason,
                                   duration retry_after) {
    if (this->is_ended() || this->closed) {
        return;
    }
    this->last = wire::relayed_call_failure{this->call, may_have_run, reason, retry_after};
    this->flush();
}

void relayed_exchange::state::flush() {
    if (this->closed || this->is_last_sent) {
        return;
    }
    const auto send = [this](const wire::message& message) {
        const bool is_sent = this->link.send(message);
        if (!is_sent) {
            this->link.stalled();
        }
        return is_sent;
    };
    if (this->head) {
        if (!send(*this->head)) {
            return;
        }
        this->head.reset();
    }
    while (!this->parts.empty() && this->untaken < window_bytes) {
        wire::relayed_response_data data{this->call, std::move(this->parts.front())};
        const std::size_t size = data.data.size();
        const wire::message outgoing = std::move(data);
        if (!send(outgoing)) {
            this->parts.front() = std::get<wire::relayed_response_data>(outgoing).data;
            return;
        }
        this->parts.pop_front();
        this->waiting_bytes -= size;
        this->untaken += size;
    }
    if (this->parts.empty() && this->last) {
        this->is_last_sent = send(*this->last);
    }
}

void relayed_exchange::state::taken(std::uint64_t bytes) {
    if (bytes == 0) {
        this->closed = this->is_last_sent;
        this->update_held();
        return;
    }
    if (bytes > this->untaken) {
        spdlog::warn("more was acknowledged than sent call={} origin={} bytes={} untaken={}",
                     this->call, this->origin_id.value(), bytes, this->untaken);
    }
    this->untaken -= std::min<std::size_t>(bytes, this->untaken);
    this->taken_bytes += static_cast<std::int64_t>(bytes);
    this->flush();
    this->update_held();
    if (this->on_sent) {
        // The callback may replace itself.
        const auto callback = this->on_sent;
        callback();
    }
}

void relayed_exchange::state::cancel() {
    if (std::exchange(this->closed, true)) {
        return;
    }
    this->parts.clear();
    this->waiting_bytes = 0;
    this->untaken = 0;
    this->update_held();
    this->notify_cancelled();
}

void relayed_exchange::state::set_budget(const std::shared_ptr<http::caller_budget>& budget,
                                         std::size_t size_of_request,
                                         std::function<void(const std::string& reason)> cut) {
    this->request_bytes = size_of_request;
    this->share.emplace(budget, http::caller_budget::share::caller{
                                    [this] { return this->taken_bytes; }, std::move(cut)});
    this->update_held();
}

void relayed_exchange::state::discard(const std::string& reason) {
    if (this->closed || this->is_last_sent) {
        return;
    }
    this->parts.clear();
    this->waiting_bytes = 0;
    this->notify_cancelled();
    this->last = wire::relayed_call_failure{this->call, true, reason, {}};
    this->flush();
    this->update_held();
}

void relayed_exchange::state::update_held() {
    if (!this->share) {
        return;
    }
    if (this->closed) {
        this->share.reset();
        return;
    }
    this->share->set(this->unsent_bytes() + (this->is_ended() ? 0 : this->request_bytes));
}

void relayed_exchange::state::notify_cancelled() {
    const auto callback = std::exchange(this->on_cancel, nullptr);
    if (callback && !this->is_ended()) {
        callback();
    }
}

bool relayed_exchange::state::is_streaming() const {
    return this->has_begun_stream && !this->is_ended() && !this->closed;
}

} // namespace kingcupcart::relaying
