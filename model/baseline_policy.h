#pragma once

#include "admission/work_class.h"
#include "base/clock.h"
#include "base/location.h"
#include "membership/directory_change.h"
#include "membership/target_load.h"
#include "model/target_picker.h"
#include "requests/actions.h"
#include "requests/messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace kingcupcart::model {

/// Sends requests in order of arrival to the targets that `Picker` picks. It neither hedges nor
/// retries, and ignores load reports and the targets' response times.
template <target_picker Picker>
class baseline_policy {
public:
    baseline_policy(location /*local_location*/, std::uint64_t seed) : random(seed) {}

    requests::actions handle(const requests::message& incoming, time_point /*now*/) {
        std::visit([this](const auto& message) { this->process(message); }, incoming);
        return std::exchange(this->output, {});
    }

    requests::actions update_target(const membership::directory_change& change,
                                    time_point /*now*/) {
        if (change.event == membership::directory_event::added) {
            this->targets[change.record.backend].push_back(
                {change.record.id, change.record.slots, 0});
        }
        return {};
    }

    void record_load(const membership::target_load& /*load*/) {}
    void set_classes(const std::vector<admission::work_class>& /*classes*/) {}
    void set_instances(int /*count*/) {}
    [[nodiscard]] std::optional<time_point> next_wakeup() const { return std::nullopt; }

private:
    struct running_request {
        requests::request_profile profile;
        baseline_target* target = nullptr;
    };

    void process(const requests::request_arrived& arrived) {
        this->waiting[arrived.profile.backend].push_back(arrived.profile);
        this->send_waiting_requests(arrived.profile.backend);
    }
    void process(const requests::attempt_write_started& /*started*/) {}
    void process(const requests::attempt_opened& /*opened*/) {}
    void process(const requests::attempt_reached& /*reached*/) {}
    void process(const requests::attempt_silent& /*silent*/) {}
    void process(const requests::attempt_progressed& /*progressed*/) {}
    void process(const requests::attempt_paused& /*paused*/) {}
    void process(const requests::attempt_completed& completed) {
        const auto entry = this->running.find(completed.attempt);
        if (entry == this->running.end()) {
            return;
        }
        --entry->second.target->running;
        const auto profile = entry->second.profile;
        this->running.erase(entry);
        this->output.push_back(requests::select_attempt{profile.id, completed.attempt});
        this->output.push_back(requests::complete_request{profile.id});
        this->send_waiting_requests(profile.backend);
    }
    void process(const requests::attempt_failed& /*failed*/) {}
    void process(const requests::caller_disconnected& /*disconnected*/) {}
    void process(const requests::probe_ended& /*ended*/) {}
    void process(const requests::timer_expired& /*expired*/) {}

    void send_waiting_requests(const backend_name& backend) {
        auto& queue = this->waiting[backend];
        std::vector<baseline_target*> candidates;
        for (baseline_target& target : this->targets[backend]) {
            candidates.push_back(&target);
        }
        while (!queue.empty()) {
            baseline_target* picked = this->picker(candidates, this->random);
            if (picked == nullptr) {
                return;
            }
            ++picked->running;
            this->last_attempt = attempt_id(this->last_attempt.value() + 1);
            this->running.emplace(this->last_attempt, running_request{queue.front(), picked});
            requests::send_attempt attempt;
            attempt.request = queue.front().id;
            attempt.attempt = this->last_attempt;
            attempt.target = picked->id;
            this->output.push_back(attempt);
            queue.pop_front();
        }
    }

    std::mt19937_64 random;
    Picker picker;
    std::map<backend_name, std::deque<baseline_target>> targets;
    std::map<backend_name, std::deque<requests::request_profile>> waiting;
    std::map<attempt_id, running_request> running;
    attempt_id last_attempt{0};
    requests::actions output;
};

} // namespace kingcupcart::model
