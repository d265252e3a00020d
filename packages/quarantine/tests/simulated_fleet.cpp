#include "simulated_fleet.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <variant>

namespace kingcupcart::quarantine {

namespace {

constexpr duration step_time = std::chrono::milliseconds(10);
/// One-way latency between two regions.
constexpr duration message_time = std::chrono::milliseconds(20);
constexpr duration target_return = std::chrono::seconds(3);
/// Time from a broken connection until it is known whether the target has ended.
constexpr duration check_time = std::chrono::milliseconds(200);
constexpr duration contact_time = std::chrono::seconds(4);

std::size_t size_of(const suspect_update& update) {
    return 64 + 48 * update.latest.size();
}
std::size_t size_of(const crash_report& /*report*/) {
    return 64 + 48;
}
template <typename Content>
std::size_t size_of(const Content& /*content*/) {
    return 64;
}

} // namespace

simulated_fleet::simulated_fleet(const settings& chosen) : chosen(chosen), random(chosen.seed) {
    for (std::size_t i = 0; i < 2; ++i) {
        this->keepers.push_back(std::make_unique<crash_registry>(chosen.limits));
    }
    this->keepers[0]->set_authority(true, this->now - std::chrono::minutes(1));
    for (std::size_t i = 0; i < chosen.senders; ++i) {
        sender_state sender;
        sender.id = instance_id("sender" + std::to_string(i));
        sender.account = std::make_unique<crash_account>(chosen.limits);
        this->senders.push_back(std::move(sender));
    }
    for (std::size_t i = 0; i < chosen.targets; ++i) {
        target_state target;
        target.id = target_id("target" + std::to_string(i));
        target.incarnation = incarnation_id(++this->last_incarnation);
        this->targets.push_back(target);
    }
}

void simulated_fleet::arrive(std::size_t sender, const simulated_request& request) {
    request_state added;
    added.number = ++this->last_request;
    added.request = request;
    added.sender = sender;
    added.deadline = this->now + request.deadline;
    const auto position = this->requests.emplace(added.number, added).first;
    this->try_send(position->second);
}

void simulated_fleet::stop_waiting(request_state& request) {
    if (request.waits) {
        this->senders[request.sender].account->remove_waiting(request.request.fingerprint);
        request.waits = false;
    }
}

void simulated_fleet::finish(std::uint64_t number, std::size_t outcome_counts::*outcome) {
    request_state& request = this->requests.at(number);
    this->stop_waiting(request);
    ++(this->outcome_records[request.request.fingerprint].*outcome);
    this->requests.erase(number);
}

void simulated_fleet::try_send(request_state& request) {
    const request_fingerprint fingerprint = request.request.fingerprint;
    sender_state& sender = this->senders[request.sender];
    if (this->chosen.has_quarantine) {
        const send_decision decision = sender.account->decide(fingerprint, this->now);
        if (decision.permission == send_permission::refused) {
            this->finish(request.number, &outcome_counts::refused);
            return;
        }
        if (decision.permission == send_permission::wait) {
            if (!request.waits) {
                sender.account->add_waiting(fingerprint);
                request.waits = true;
            }
            return;
        }
    }
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        if (this->targets[i].is_up && !this->targets[i].is_leaving) {
            candidates.push_back(i);
        }
    }
    if (candidates.empty()) {
        return;
    }
    const std::size_t target = candidates[this->random() % candidates.size()];
    this->stop_waiting(request);
    const attempt_id attempt(++this->last_attempt);
    if (this->chosen.has_quarantine) {
        sender.account->begin(attempt, fingerprint, this->targets[target].id,
                              this->targets[target].incarnation, this->now);
    }
    ++request.attempts;
    request.running = attempt;
    attempt_state started;
    started.request = request.number;
    started.target = target;
    if (request.request.crash_after) {
        started.crashes_at = this->now + *request.request.crash_after;
    }
    started.ends_at = this->now + request.request.run_time;
    this->attempts.emplace(attempt, started);
    const bool is_in_touch =
        !sender.is_cut && this->now - sender.in_touch_since >= contact_time && !this->leader_at;
    this->send_records[fingerprint].push_back({this->now, is_in_touch});
}

void simulated_fleet::end_attempt(attempt_id attempt, attempt_end how) {
    const attempt_state ended = this->attempts.at(attempt);
    this->attempts.erase(attempt);
    request_state& request = this->requests.at(ended.request);
    request.running.reset();
    if (this->chosen.has_quarantine) {
        this->senders[request.sender].account->end(attempt, how, this->now);
    }
    if (how == attempt_end::completed) {
        this->finish(request.number, &outcome_counts::served);
        return;
    }
    if (how == attempt_end::disconnected) {
        const target_state& target = this->targets[ended.target];
        this->checks.push_back(
            {this->now + check_time, request.sender, ended.target, target.incarnation});
    }
    if (request.attempts >= request.request.max_attempts || this->now >= request.deadline) {
        this->finish(request.number, &outcome_counts::failed);
    }
}

void simulated_fleet::end_target(std::size_t target) {
    this->targets[target].is_up = false;
    this->targets[target].back_at = this->now + target_return;
    std::vector<attempt_id> broken;
    for (const auto& [id, attempt] : this->attempts) {
        if (attempt.target == target) {
            broken.push_back(id);
        }
    }
    for (const attempt_id id : broken) {
        this->end_attempt(id, attempt_end::disconnected);
    }
}

void simulated_fleet::kill_targets(double part) {
    std::vector<std::size_t> up;
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
        if (this->targets[i].is_up) {
            up.push_back(i);
        }
    }
    std::shuffle(up.begin(), up.end(), this->random);
    up.resize(static_cast<std::size_t>(static_cast<double>(up.size()) * part));
    for (const std::size_t target : up) {
        this->end_target(target);
    }
}

void simulated_fleet::reset_connections() {
    std::vector<attempt_id> all;
    for (const auto& [id, attempt] : this->attempts) {
        all.push_back(id);
    }
    for (const attempt_id id : all) {
        this->end_attempt(id, attempt_end::disconnected);
    }
}

void simulated_fleet::leave_targets() {
    std::vector<attempt_id> all;
    for (const auto& [id, attempt] : this->attempts) {
        all.push_back(id);
    }
    for (const attempt_id id : all) {
        this->end_attempt(id, attempt_end::unclear);
    }
}

void simulated_fleet::cut_sender(std::size_t index, duration time) {
    sender_state& sender = this->senders.at(index);
    sender.is_cut = true;
    sender.cut_until = this->now + time;
    for (auto& keeper : this->keepers) {
        keeper->remove_sender(sender.id, this->now);
    }
}

void simulated_fleet::restart_sender(std::size_t index) {
    sender_state& sender = this->senders.at(index);
    for (auto attempt = this->attempts.begin(); attempt != this->attempts.end();) {
        const bool is_own = this->requests.at(attempt->second.request).sender == index;
        attempt = is_own ? this->attempts.erase(attempt) : std::next(attempt);
    }
    std::erase_if(this->requests, [&](const auto& entry) { return entry.second.sender == index; });
    std::erase_if(this->checks, [&](const check& pending) { return pending.sender == index; });
    sender.account = std::make_unique<crash_account>(this->chosen.limits);
    this->cut_sender(index, std::chrono::milliseconds(500));
}

void simulated_fleet::lose_leader(duration time) {
    this->keepers[this->leading] = std::make_unique<crash_registry>(this->chosen.limits);
    this->leading = 1 - this->leading;
    this->leader_at = this->now + time;
    for (sender_state& sender : this->senders) {
        sender.in_touch_since = this->now + time;
    }
}

void simulated_fleet::connect(std::size_t index) {
    sender_state& sender = this->senders[index];
    sender.is_cut = false;
    sender.in_touch_since = this->now;
    if (!this->chosen.has_quarantine) {
        return;
    }
    for (const account_message& content : sender.account->initial_messages(this->now)) {
        this->to_keepers.push_back({this->now + message_time, index, content});
    }
    for (const suspect_update& update : this->keepers[this->leading]->initial_messages(this->now)) {
        this->to_senders.push_back({this->now + message_time, index, update});
    }
}

void simulated_fleet::check_targets() {
    std::vector<check> later;
    for (const check& pending : std::exchange(this->checks, {})) {
        if (pending.due > this->now) {
            later.push_back(pending);
            continue;
        }
        if (!this->chosen.has_quarantine) {
            continue;
        }
        const target_state& target = this->targets[pending.target];
        crash_account& account = *this->senders[pending.sender].account;
        if (target.is_up && target.incarnation == pending.incarnation) {
            account.record_target_alive(target.id, pending.incarnation, this->now);
        } else {
            account.record_target_ended(target.id, pending.incarnation, this->now);
        }
    }
    this->checks.insert(this->checks.end(), later.begin(), later.end());
}

void simulated_fleet::end_runs() {
    const auto due = [&](const auto& entry) {
        const attempt_state& attempt = entry.second;
        return attempt.crashes_at ? *attempt.crashes_at <= this->now : attempt.ends_at <= this->now;
    };
    for (auto found = std::find_if(this->attempts.begin(), this->attempts.end(), due);
         found != this->attempts.end();
         found = std::find_if(this->attempts.begin(), this->attempts.end(), due)) {
        const attempt_state attempt = found->second;
        if (attempt.crashes_at) {
            const request_state& request = this->requests.at(attempt.request);
            this->crash_times[request.request.fingerprint].push_back(this->now);
            this->end_target(attempt.target);
        } else {
            this->end_attempt(found->first, attempt_end::completed);
        }
    }
}

void simulated_fleet::count_bytes(std::size_t size, std::size_t copies) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(this->now.time_since_epoch()).count();
    this->bytes[second] += size * copies;
    this->sent_messages += copies;
}

void simulated_fleet::exchange_messages() {
    while (!this->to_keepers.empty() && this->to_keepers.front().arrives <= this->now) {
        const auto received = this->to_keepers.front();
        this->to_keepers.pop_front();
        const sender_state& sender = this->senders[received.sender];
        if (sender.is_cut) {
            continue;
        }
        for (std::size_t i = 0; i < this->keepers.size(); ++i) {
            const bool is_gone = this->leader_at && i != this->leading;
            if (!is_gone) {
                this->keepers[i]->handle(sender.id, received.content, this->now);
            }
        }
    }
    while (!this->to_senders.empty() && this->to_senders.front().arrives <= this->now) {
        const auto received = this->to_senders.front();
        this->to_senders.pop_front();
        sender_state& sender = this->senders[received.sender];
        if (!sender.is_cut) {
            std::visit([&](const auto& content) { sender.account->handle(content, this->now); },
                       received.content);
        }
    }
    for (std::size_t i = 0; i < this->senders.size(); ++i) {
        for (const account_message& content : this->senders[i].account->collect(this->now)) {
            if (!this->senders[i].is_cut) {
                std::visit([&](const auto& sent) { this->count_bytes(size_of(sent), 1); }, content);
                this->to_keepers.push_back({this->now + message_time, i, content});
            }
        }
    }
    for (std::size_t keeper = 0; keeper < this->keepers.size(); ++keeper) {
        for (const addressed_message& sent : this->keepers[keeper]->collect(this->now)) {
            for (std::size_t i = 0; i < this->senders.size(); ++i) {
                if (!sent.recipient || *sent.recipient == this->senders[i].id) {
                    std::visit([&](const auto& content) { this->count_bytes(size_of(content), 1); },
                               sent.content);
                    this->to_senders.push_back({this->now + message_time, i, sent.content});
                }
            }
        }
    }
}

void simulated_fleet::step() {
    this->now += step_time;
    if (this->leader_at && *this->leader_at <= this->now) {
        this->leader_at.reset();
        this->keepers[this->leading]->set_authority(true, this->now);
        // The lost keeper is back, and all connect to it.
        for (std::size_t i = 0; i < this->senders.size(); ++i) {
            if (!this->senders[i].is_cut) {
                for (const account_message& content :
                     this->senders[i].account->initial_messages(this->now)) {
                    this->to_keepers.push_back({this->now + message_time, i, content});
                }
            }
        }
    }
    for (target_state& target : this->targets) {
        if (!target.is_up && target.back_at <= this->now) {
            target.is_up = true;
            target.incarnation = incarnation_id(++this->last_incarnation);
        }
    }
    for (std::size_t i = 0; i < this->senders.size(); ++i) {
        if (this->senders[i].is_cut && this->senders[i].cut_until <= this->now) {
            this->connect(i);
        }
    }
    this->end_runs();
    if (this->chosen.has_quarantine) {
        this->check_targets();
        this->exchange_messages();
    }
    std::vector<std::set<request_fingerprint>> changed(this->senders.size());
    for (std::size_t i = 0; i < this->senders.size(); ++i) {
        const auto taken = this->senders[i].account->take_changed(this->now);
        changed[i].insert(taken.begin(), taken.end());
    }
    std::vector<std::uint64_t> idle;
    for (const auto& [number, request] : this->requests) {
        if (!request.running) {
            idle.push_back(number);
        }
    }
    for (const std::uint64_t number : idle) {
        request_state& request = this->requests.at(number);
        if (request.deadline <= this->now) {
            this->finish(number, &outcome_counts::failed);
        } else if (!request.waits ||
                   changed[request.sender].contains(request.request.fingerprint)) {
            this->try_send(request);
        }
    }
}

void simulated_fleet::run(duration time) {
    const time_point end = this->now + time;
    while (this->now < end) {
        this->step();
    }
}

void simulated_fleet::skip(duration time) {
    this->now += time - step_time;
    this->step();
}

std::size_t simulated_fleet::late_sends(const request_fingerprint& fingerprint) const {
    const auto crashes = this->crash_times.find(fingerprint);
    const auto sent = this->send_records.find(fingerprint);
    if (crashes == this->crash_times.end() || crashes->second.size() < 3) {
        return 0;
    }
    const time_point from = crashes->second[2] + contact_time;
    return static_cast<std::size_t>(
        std::count_if(sent->second.begin(), sent->second.end(), [&](const send_record& record) {
            return record.is_in_touch && record.at > from;
        }));
}

std::size_t simulated_fleet::targets_ended(const request_fingerprint& fingerprint) const {
    const auto found = this->crash_times.find(fingerprint);
    return found == this->crash_times.end() ? 0 : found->second.size();
}

std::size_t simulated_fleet::sends(const request_fingerprint& fingerprint) const {
    const auto found = this->send_records.find(fingerprint);
    return found == this->send_records.end() ? 0 : found->second.size();
}

simulated_fleet::outcome_counts
simulated_fleet::outcomes(const request_fingerprint& fingerprint) const {
    const auto found = this->outcome_records.find(fingerprint);
    return found == this->outcome_records.end() ? outcome_counts{} : found->second;
}

simulated_fleet::outcome_counts
simulated_fleet::other_outcomes(const request_fingerprint& fingerprint) const {
    outcome_counts sum;
    for (const auto& [other, counts] : this->outcome_records) {
        if (other != fingerprint) {
            sum.served += counts.served;
            sum.refused += counts.refused;
            sum.failed += counts.failed;
        }
    }
    return sum;
}

std::size_t simulated_fleet::most_bytes_a_second() const {
    std::size_t most = 0;
    for (const auto& [second, count] : this->bytes) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace kingcupcart::quarantine
