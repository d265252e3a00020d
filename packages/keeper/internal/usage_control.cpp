#include "keeper/internal/usage_control.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace kingcupcart::keeper {

namespace {

/// Time between two looks at whether a window is to be committed or sent.
constexpr duration check_interval = std::chrono::milliseconds(200);

duties::usage_report make_report(std::uint64_t window,
                                 const std::vector<replicated::account_usage>& counts) {
    duties::usage_report report;
    report.window = window;
    for (const replicated::account_usage& entry : counts) {
        report.counts[entry.account] += entry.count;
    }
    return report;
}

} // namespace

usage_control::usage_control(parameters arguments)
    : params(std::move(arguments)), ledger(this->params.windows), timer([this] { this->run(); }) {
    this->timer.arm_now();
}

bool usage_control::handle(const wire::hello& from, const wire::message& message) {
    const auto* update = std::get_if<wire::usage_update>(&message);
    if (update == nullptr) {
        return false;
    }
    this->params.metrics->count("usage_updates_received_total");
    std::vector<duties::usage_report> counts;
    for (const wire::window_usage& window : update->windows) {
        counts.push_back(make_report(window.window, window.counts));
    }
    const wall_time as_of{std::chrono::milliseconds(update->as_of)};
    const std::uint64_t late =
        this->ledger.record({from.instance, from.incarnation}, as_of, counts);
    if (late > 0) {
        spdlog::warn("usage counts arrived after their window was committed gateway={} "
                     "incarnation={} count={} committed_through={}",
                     from.instance.value(), from.incarnation.value(), late,
                     this->params.state().usage().last_window);
        this->params.metrics->count("usage_counts_late_total", static_cast<std::int64_t>(late));
    }
    return true;
}

void usage_control::accounts_changed(bool has_accounts) {
    if (!has_accounts) {
        this->first_window = 0;
    } else if (this->first_window == 0) {
        this->first_window = this->params.windows.window_of(this->params.wall_time->now());
        spdlog::info("usage is counted first_window={}", this->first_window);
    }
}

void usage_control::state_changed() {
    const auto& usage = this->params.state().usage();
    this->ledger.committed(usage.last_window);
    this->reported_through = std::max(this->reported_through, usage.reported_through);
    this->send_committed();
}

void usage_control::leadership_changed(bool /*is_leader*/) {
    // The calls were ended with the leadership.
    this->sent.clear();
    this->is_committing = false;
}

void usage_control::run() {
    this->timer.arm(this->params.time->now() + check_interval);
    if (!this->params.calls->may_send()) {
        return;
    }
    this->send_committed();
    const std::uint64_t last = this->params.state().usage().last_window;
    if (this->first_window == 0 || this->is_committing) {
        return;
    }
    const auto next = this->params.windows.next_to_commit(last, this->first_window,
                                                          this->params.wall_time->now());
    if (next) {
        this->commit(*next);
    }
}

void usage_control::commit(std::uint64_t window) {
    if (!this->params.may_commit()) {
        spdlog::warn("usage not committed window={} reason=a-keeper-runs-an-earlier-build", window);
        this->params.metrics->count("usage_commits_blocked_total");
        return;
    }
    const duties::usage_report total = this->ledger.sum(window);
    replicated::commit_usage command;
    command.window = window;
    command.reported_through = this->reported_through;
    std::uint64_t requests = 0;
    for (const auto& [account, count] : total.counts) {
        command.counts.push_back({account, count});
        requests += count;
    }
    for (const instance_id& gateway : this->ledger.incomplete(window)) {
        spdlog::warn("usage counts may be missing window={} gateway={}", window, gateway.value());
        this->params.metrics->count("usage_counts_missing_total");
    }
    spdlog::info("usage window to be committed window={} accounts={} requests={}", window,
                 command.counts.size(), requests);
    this->is_committing = true;
    this->params.submit(command, [this, window](bool is_committed) {
        this->is_committing = false;
        if (!is_committed) {
            // The command may still be committed; the first one of the window takes effect.
            spdlog::warn("usage window not committed in time window={}", window);
            this->params.metrics->count("usage_commits_unknown_total");
        }
    });
}

void usage_control::send_committed() {
    if (!this->params.calls->may_send()) {
        return;
    }
    for (const auto& stored : this->params.state().usage().windows) {
        if (stored.window <= this->reported_through || !this->sent.insert(stored.window).second) {
            continue;
        }
        this->params.calls->send(make_report(stored.window, stored.counts),
                                 [this, window = stored.window](duties::call_outcome outcome) {
                                     this->reported(window, outcome);
                                 });
    }
}

void usage_control::reported(std::uint64_t window, duties::call_outcome outcome) {
    if (outcome == duties::call_outcome::unknown) {
        return;
    }
    this->reported_through = std::max(this->reported_through, window);
    const wall_time now = this->params.wall_time->now();
    const auto after_end = (now - this->params.windows.end_of(window)).count();
    const bool is_accepted = outcome == duties::call_outcome::accepted;
    if (is_accepted && now <= this->params.windows.due_time_of(window)) {
        spdlog::info("usage reported window={} after_end_ms={}", window, after_end);
        this->params.metrics->count("usage_windows_reported_total");
        return;
    }
    spdlog::error("usage window missed window={} outcome={} after_end_ms={}", window,
                  duties::to_string(outcome), after_end);
    this->params.metrics->count("usage_windows_missed_total");
}

} // namespace kingcupcart::keeper
