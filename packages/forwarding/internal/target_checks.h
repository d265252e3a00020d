#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/keeper_client.h"
#include "forwarding/response_observer.h"
#include "http/listening_check.h"
#include "quarantine/checked_target.h"
#include "task/timer.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace kingcupcart::forwarding {

/// Finds out whether targets have ended whose connections broke under requests, by whether they
/// still listen. Sends them no requests.
class target_checks {
public:
    target_checks(const clock& time, fleet::keeper_client& fleet);
    ~target_checks();
    target_checks(const target_checks&) = delete;
    target_checks& operator=(const target_checks&) = delete;

    /// Begins the checks of those targets that none has begun for.
    void update();
    /// A response to the request has begun, so its target was alive after the request was sent.
    void record_response(const observed_request& request);

private:
    using target_key = std::pair<target_id, incarnation_id>;

    struct check {
        quarantine::checked_target target;
        endpoint address;
        std::unique_ptr<http::listening_check> attempt;
        std::unique_ptr<task::timer> repeat_timer;
        bool is_repeated = false;
        bool has_ended = false;
    };

    void connect(const target_key& key);
    void handle_result(const target_key& key, http::listening_check::result result);

    const clock& time;
    fleet::keeper_client& fleet;
    /// Until the account no longer asks for them.
    std::map<target_key, check> checks;
};

} // namespace kingcupcart::forwarding
