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

/// Serves requests in the order of their coming, by one way of picking targets, without hedges,
/// retries or a look at how the targets fare.
template <target_picker Picker>
class baseline {
public:
    baseline(location /*here*/, std::uint64_t seed) : random(seed) {}

    requests::actions handle(const requests::message& told, time_point /*now*/) {
        std::visit([this](const auto& one) { this->on(one); }, told);
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

    void on(const requests::request_arrived& arrived) {
        this->waiting[arrived.profile.backend].push_back(arrived.profile);
        this->pump(arrived.profile.backend);
    }
    void on(const requests::attempt_handed& /*handed*/) {}
    void on(const requests::attempt_progressed& /*progressed*/) {}
    void on(const requests::attempt_answered& answered) {
        const auto found = this->running.find(answered.attempt);
        if (found == this->running.end()) {
            return;
        }
        --found->second.target->running;
        const auto profile = found->second.profile;
        this->running.erase(found);
        this->output.push_back(requests::adopt_attempt{profile.id, answered.attempt});
        this->output.push_back(requests::complete_request{profile.id});
        this->pump(profile.backend);
    }
    void on(const requests::attempt_failed& /*failed*/) {}
    void on(const requests::caller_disconnected& /*left*/) {}
    void on(const requests::timer_expired& /*passed*/) {}

    void pump(const backend_name& backend) {
        auto& queue = this->waiting[backend];
        std::vector<baseline_target*> choice;
        for (baseline_target& one : this->targets[backend]) {
            choice.push_back(&one);
        }
        while (!queue.empty()) {
            baseline_target* target = this->pick(choice, this->random);
            if (target == nullptr) {
                return;
            }
            ++target->running;
            this->last_attempt = attempt_id(this->last_attempt.value() + 1);
            this->running.emplace(this->last_attempt, running_request{queue.front(), target});
            requests::send_attempt sent;
            sent.request = queue.front().id;
            sent.attempt = this->last_attempt;
            sent.target = target->id;
            this->output.push_back(sent);
            queue.pop_front();
        }
    }

    std::mt19937_64 random;
    Picker pick;
    std::map<backend_name, std::deque<baseline_target>> targets;
    std::map<backend_name, std::deque<requests::request_profile>> waiting;
    std::map<attempt_id, running_request> running;
    attempt_id last_attempt{0};
    requests::actions output;
};

} // namespace kingcupcart::model
