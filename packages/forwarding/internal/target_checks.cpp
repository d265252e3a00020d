#include "forwarding/internal/target_checks.h"

#include <algorithm>
#include <chrono>

namespace kingcupcart::forwarding {

namespace {

constexpr duration connect_time_limit = std::chrono::milliseconds(300);
/// A process that ends may close its connections before its listening socket, so that only a second
/// connection shows that it is alive.
constexpr duration repeat_delay = std::chrono::milliseconds(250);

} // namespace

target_checks::target_checks(const clock& time, fleet::keeper_client& fleet)
    : time(time), fleet(fleet) {}

target_checks::~target_checks() = default;

void target_checks::update() {
    const std::vector<quarantine::checked_target> unproven =
        this->fleet.crashes().account().unproven_targets();
    std::erase_if(this->checks, [&](const auto& entry) {
        return entry.second.has_ended &&
               std::none_of(unproven.begin(), unproven.end(), [&](const auto& target) {
                   return target_key(target.target, target.incarnation) == entry.first &&
                          target.since == entry.second.target.since;
               });
    });
    for (const quarantine::checked_target& target : unproven) {
        const membership::target_record* known = this->fleet.targets().find(target.target);
        const target_key key(target.target, target.incarnation);
        if (known == nullptr || known->incarnation != target.incarnation ||
            this->checks.contains(key)) {
            continue;
        }
        check& added = this->checks[key];
        added.target = target;
        added.address = known->address;
        this->connect(key);
    }
}

void target_checks::record_response(const observed_request& request) {
    for (const quarantine::checked_target& target :
         this->fleet.crashes().account().unproven_targets()) {
        if (target.target == request.target && target.incarnation == request.incarnation &&
            target.since < request.sent_at) {
            this->fleet.crashes().record_check(target, false);
        }
    }
}

void target_checks::connect(const target_key& key) {
    check& started = this->checks.at(key);
    started.attempt = std::make_unique<http::listening_check>(
        this->time, started.address, connect_time_limit,
        [this, key](http::listening_check::result result) { this->handle_result(key, result); });
}

void target_checks::handle_result(const target_key& key, http::listening_check::result result) {
    using check_result = http::listening_check::result;
    check& ended = this->checks.at(key);
    if (result == check_result::listening && !ended.is_repeated) {
        ended.is_repeated = true;
        ended.repeat_timer = std::make_unique<task::timer>([this, key] { this->connect(key); });
        ended.repeat_timer->arm(this->time.now() + repeat_delay);
        return;
    }
    ended.has_ended = true;
    if (result != check_result::unknown) {
        const quarantine::checked_target target = ended.target;
        this->fleet.crashes().record_check(target, result == check_result::refused);
    }
}

} // namespace kingcupcart::forwarding
