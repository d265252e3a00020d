#include "gateway/internal/usage_reports.h"

#include "wire/messages.h"

#include <chrono>
#include <utility>
#include <vector>

namespace kingcupcart::gateway {

namespace {

constexpr duration send_interval = std::chrono::seconds(1);
/// Keepers of earlier revisions don't know the message.
constexpr std::uint16_t usage_revision = 1;

wire::usage_update make_update(const std::vector<duties::usage_report>& reports, wall_time as_of) {
    wire::usage_update update;
    update.as_of = static_cast<std::uint64_t>(as_of.time_since_epoch().count());
    for (const duties::usage_report& report : reports) {
        wire::window_usage window;
        window.window = report.window;
        for (const auto& [account, count] : report.counts) {
            window.counts.push_back({account, count});
        }
        update.windows.push_back(std::move(window));
    }
    return update;
}

} // namespace

usage_reports::usage_reports(parameters arguments)
    : params(std::move(arguments)),
      counter(this->params.windows),
      timer([this] { this->send_changes(); }) {
    this->timer.arm(this->params.time->now() + send_interval);
}

void usage_reports::run_began(const account_name& account, duration ago) {
    this->counter.add(account, this->params.wall_time->now() -
                                   std::chrono::duration_cast<std::chrono::milliseconds>(ago));
}

void usage_reports::keeper_greeted(const instance_id& keeper) {
    if (this->params.fleet->revision_of(keeper) >= usage_revision) {
        this->params.fleet->send(keeper,
                                 make_update(this->counter.all(), this->params.wall_time->now()));
    }
}

void usage_reports::export_metrics(telemetry::metric_set& metrics) const {
    metrics.set("usage_requests_counted", static_cast<double>(this->counter.total()));
}

void usage_reports::send_changes() {
    this->params.count_open_runs();
    const wall_time now = this->params.wall_time->now();
    this->counter.expire(now);
    // Sent without changes, too: it tells the keepers that this gateway has counted no others.
    this->params.fleet->send_to_revision(usage_revision,
                                         make_update(this->counter.take_changes(), now));
    this->timer.arm(this->params.time->now() + send_interval);
}

} // namespace kingcupcart::gateway
