#include "quarantine/crash_account.h"
#include "quarantine/crash_registry.h"
#include "simulated_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace kingcupcart::quarantine {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Largest number of sends later than 4 s after the third target ended that operators accept.
constexpr std::size_t allowed_late_sends = 3;
/// Largest number of targets that may end under such requests in sequence.
constexpr std::size_t allowed_targets_ended = 4;

const request_fingerprint culprit_fingerprint(1, 1);

simulated_request culprit() {
    simulated_request request;
    request.fingerprint = culprit_fingerprint;
    request.crash_after = milliseconds(90);
    return request;
}

simulated_request innocent(std::uint64_t number, duration run_time = milliseconds(50)) {
    simulated_request request;
    request.fingerprint = request_fingerprint(2, number);
    request.run_time = run_time;
    return request;
}

simulated_fleet make_fleet(std::size_t senders, std::uint64_t seed = 1) {
    simulated_fleet::settings settings;
    settings.senders = senders;
    settings.seed = seed;
    return simulated_fleet(settings);
}

template <typename Check>
void for_each_fleet(Check check) {
    for (const std::size_t senders : {std::size_t{3}, std::size_t{9}, std::size_t{249}}) {
        for (const std::uint64_t seed : {1, 2}) {
            CAPTURE(senders);
            CAPTURE(seed);
            simulated_fleet fleet = make_fleet(senders, seed);
            fleet.run(seconds(5));
            check(fleet, senders);
        }
    }
}

/// The crashing request arrives at one sender after the other, often at first and every five
/// minutes for the rest of the day.
void send_for_a_day(simulated_fleet& fleet, std::size_t senders) {
    std::size_t next = 0;
    const time_point end = fleet.time() + hours(24);
    for (int i = 0; i < 120; ++i) {
        fleet.arrive(next++ % senders, culprit());
        fleet.run(milliseconds(700));
    }
    while (fleet.time() < end) {
        fleet.arrive(next++ % senders, culprit());
        fleet.run(milliseconds(600));
        fleet.skip(minutes(5));
    }
}

} // namespace

// Guards against a request that one instance after the other sends, although three targets have
// ended under it.
SCENARIO("a request that crashes its targets comes again at any instance") {
    GIVEN("one after the other") {
        THEN("few targets end, and almost none once three have") {
            for_each_fleet([](simulated_fleet& fleet, std::size_t senders) {
                for (std::size_t i = 0; i < 120; ++i) {
                    fleet.arrive(i % senders, culprit());
                    fleet.run(milliseconds(700));
                }
                CHECK(fleet.targets_ended(culprit_fingerprint) <= allowed_targets_ended);
                CHECK(fleet.leader().state_of(culprit_fingerprint) == suspect_state::quarantined);
                send_for_a_day(fleet, senders);
                CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
                CHECK(fleet.sends(culprit_fingerprint) <= 6);
            });
        }
    }
    GIVEN("three and nine at once") {
        THEN("the number of later sends is as low") {
            for (const std::size_t copies : {std::size_t{3}, std::size_t{9}}) {
                CAPTURE(copies);
                for_each_fleet([&](simulated_fleet& fleet, std::size_t senders) {
                    for (std::size_t i = 0; i < copies; ++i) {
                        fleet.arrive(i % senders, culprit());
                    }
                    fleet.run(seconds(8));
                    // Each copy is retried once before its sender knows of the others, and one
                    // trial confirms.
                    CHECK(fleet.targets_ended(culprit_fingerprint) <= 2 * copies + 1);
                    send_for_a_day(fleet, senders);
                    CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
                });
            }
        }
    }
    GIVEN("one after the other, with a leader lost, a sender restarted and one cut off") {
        THEN("what was learnt is kept") {
            for_each_fleet([](simulated_fleet& fleet, std::size_t senders) {
                for (std::size_t i = 0; i < 170; ++i) {
                    fleet.arrive(i % senders, culprit());
                    fleet.run(milliseconds(700));
                    if (i == 1 || i == 40) {
                        fleet.lose_leader(seconds(3));
                    }
                    if (i == 20) {
                        fleet.restart_sender(0);
                    }
                    if (i == 60) {
                        fleet.cut_sender(1, seconds(10));
                    }
                }
                CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
                send_for_a_day(fleet, senders);
                CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
            });
        }
    }
    GIVEN("three and nine at once, with the leader lost at that moment") {
        THEN("the number of later sends is as low") {
            for (const std::size_t copies : {std::size_t{3}, std::size_t{9}}) {
                CAPTURE(copies);
                for_each_fleet([&](simulated_fleet& fleet, std::size_t senders) {
                    for (std::size_t i = 0; i < copies; ++i) {
                        fleet.arrive(i % senders, culprit());
                    }
                    fleet.run(milliseconds(100));
                    fleet.lose_leader(seconds(2));
                    send_for_a_day(fleet, senders);
                    CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
                });
            }
        }
    }
    GIVEN("innocent requests beside it on the same targets") {
        THEN("none of them is refused") {
            for_each_fleet([](simulated_fleet& fleet, std::size_t senders) {
                std::uint64_t number = 0;
                for (std::size_t i = 0; i < 60; ++i) {
                    fleet.arrive(i % senders, culprit());
                    for (std::size_t j = 0; j < 10; ++j) {
                        fleet.arrive((i + j) % senders, innocent(++number, milliseconds(200)));
                        fleet.run(milliseconds(70));
                    }
                }
                fleet.run(seconds(7));
                CHECK(fleet.targets_ended(culprit_fingerprint) <= allowed_targets_ended);
                CHECK(fleet.other_outcomes(culprit_fingerprint).refused == 0);
                CHECK(fleet.other_outcomes(culprit_fingerprint).failed == 0);
            });
        }
    }
}

SCENARIO("faults of all kinds happen at random while such a request comes again") {
    for (const std::size_t senders : {std::size_t{3}, std::size_t{9}}) {
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            CAPTURE(senders);
            CAPTURE(seed);
            simulated_fleet fleet = make_fleet(senders, seed);
            fleet.run(seconds(5));
            std::mt19937_64 random(seed);
            const auto happens_in = [&](std::uint64_t one_of) { return random() % one_of == 0; };
            std::uint64_t number = 0;
            for (int i = 0; i < 900; ++i) {
                fleet.run(milliseconds(100));
                if (happens_in(7)) {
                    const std::size_t copies = happens_in(10) ? 5 : 1;
                    for (std::size_t j = 0; j < copies; ++j) {
                        fleet.arrive(random() % senders, culprit());
                    }
                }
                if (happens_in(2)) {
                    fleet.arrive(random() % senders,
                                 innocent(++number, milliseconds(50 + random() % 800)));
                }
                if (happens_in(150)) {
                    fleet.lose_leader(milliseconds(200 + random() % 4000));
                }
                if (happens_in(150)) {
                    fleet.cut_sender(random() % senders, milliseconds(200 + random() % 10000));
                }
                if (happens_in(200)) {
                    fleet.restart_sender(random() % senders);
                }
                if (happens_in(150)) {
                    fleet.kill_targets(0.6);
                }
                if (happens_in(60)) {
                    fleet.reset_connections();
                }
            }
            CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
            CHECK(fleet.other_outcomes(culprit_fingerprint).refused == 0);
        }
    }
}

SCENARIO("a request that crashes its targets comes to a service of three targets") {
    GIVEN("innocent requests beside it") {
        THEN("few targets end, and each other request is served") {
            for (const std::uint64_t seed : {1, 2, 3, 4}) {
                CAPTURE(seed);
                simulated_fleet::settings settings;
                settings.targets = 3;
                settings.seed = seed;
                simulated_fleet fleet(settings);
                fleet.run(seconds(5));
                std::uint64_t number = 0;
                for (std::size_t i = 0; i < 60; ++i) {
                    fleet.arrive(i % 3, culprit());
                    for (std::size_t j = 0; j < 7; ++j) {
                        fleet.arrive((i + j) % 3, innocent(++number, milliseconds(200)));
                        fleet.run(milliseconds(100));
                    }
                }
                fleet.run(seconds(7));
                CHECK(fleet.targets_ended(culprit_fingerprint) <= allowed_targets_ended);
                CHECK(fleet.late_sends(culprit_fingerprint) <= allowed_late_sends);
                CHECK(fleet.other_outcomes(culprit_fingerprint).served == number);
            }
        }
    }
}

// Guards against refusals of requests that crash nothing: without a crashing request, 272 of 273
// were served while three of four targets were killed three times.
SCENARIO("many targets end at once under requests that did nothing") {
    const auto kill_three_times = [](simulated_fleet& fleet, auto make_request) {
        std::size_t next = 0;
        for (int i = 0; i < 300; ++i) {
            fleet.arrive(next++, make_request(i));
            fleet.run(milliseconds(60));
            if (i == 50 || i == 120 || i == 190) {
                fleet.kill_targets(0.6);
            }
            next = next >= 3 ? 0 : next;
        }
        fleet.run(seconds(8));
    };
    GIVEN("slow requests that are all alike") {
        THEN("none is refused") {
            for (const duration run_time : {milliseconds(400), milliseconds(1500)}) {
                for_each_fleet([&](simulated_fleet& fleet, std::size_t /*senders*/) {
                    kill_three_times(fleet, [&](int /*i*/) { return innocent(1, run_time); });
                    const auto outcomes = fleet.outcomes(innocent(1).fingerprint);
                    CHECK(outcomes.refused == 0);
                    CHECK(outcomes.failed == 0);
                    CHECK(outcomes.served == 300);
                });
            }
        }
    }
    GIVEN("requests that are all alike and take almost as long as the targets stay up") {
        THEN("all are served") {
            for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
                CAPTURE(seed);
                simulated_fleet::settings settings;
                settings.targets = 4;
                settings.seed = seed;
                simulated_fleet fleet(settings);
                fleet.run(seconds(5));
                simulated_request request = innocent(1, seconds(4));
                request.deadline = seconds(12);
                for (std::size_t i = 0; i < 300; ++i) {
                    fleet.arrive(i % 3, request);
                    fleet.run(milliseconds(60));
                    if (i == 50 || i == 130 || i == 210) {
                        fleet.kill_targets(0.75);
                    }
                }
                fleet.run(seconds(14));
                CHECK(fleet.outcomes(request.fingerprint).served == 300);
            }
        }
    }
    GIVEN("copies of a request that was never answered, under which all targets go dark") {
        THEN("a trial is granted at once, and all are served") {
            for_each_fleet([](simulated_fleet& fleet, std::size_t senders) {
                for (std::size_t i = 0; i < 9; ++i) {
                    fleet.arrive(i % senders, innocent(1, seconds(1)));
                }
                fleet.run(milliseconds(300));
                fleet.kill_targets(1);
                fleet.run(seconds(8));
                CHECK(fleet.outcomes(innocent(1).fingerprint).refused == 0);
                CHECK(fleet.outcomes(innocent(1).fingerprint).served == 9);
            });
        }
    }
    GIVEN("slow requests that differ") {
        THEN("none is refused") {
            for_each_fleet([&](simulated_fleet& fleet, std::size_t /*senders*/) {
                kill_three_times(fleet, [](int i) {
                    return innocent(static_cast<std::uint64_t>(i), milliseconds(1500));
                });
                const auto outcomes = fleet.other_outcomes(culprit_fingerprint);
                CHECK(outcomes.refused == 0);
                CHECK(outcomes.served >= 295);
            });
        }
    }
}

SCENARIO("a request that was answered lately has crashes at the same moment") {
    const quarantine_limits limits;
    const time_point now{hours(1)};
    crash_history history;
    const auto crash = [&](std::uint64_t number, duration age) {
        history.record({target_id("t"), incarnation_id(number), crash_status::proven, false, age},
                       now, limits);
    };
    GIVEN("three at a moment, and three 5 s later") {
        const auto crash_all = [&] {
            for (std::uint64_t i = 0; i < 3; ++i) {
                crash(i, seconds(10) + milliseconds(50 * i));
                crash(3 + i, seconds(5) + milliseconds(50 * i));
            }
        };
        THEN("each counts if it was not answered") {
            crash_all();
            CHECK(history.count() == 6);
        }
        THEN("each counts if it was answered long before") {
            history.clear(now - minutes(5));
            crash_all();
            CHECK(history.count() == 6);
        }
        THEN("none counts if it was answered shortly before") {
            history.clear(now - seconds(20));
            crash_all();
            CHECK(history.count() == 0);
            AND_WHEN("more moments follow") {
                crash(10, seconds(3));
                crash(11, seconds(2));
                crash(12, seconds(1));
                THEN("those count") {
                    CHECK(history.count() == 3);
                }
            }
        }
    }
}

SCENARIO("a broken connection is no crash where the target goes on") {
    simulated_fleet fleet = make_fleet(3);
    fleet.run(seconds(5));
    GIVEN("connections that are reset again and again") {
        for (std::size_t i = 0; i < 12; ++i) {
            fleet.arrive(i % 3, innocent(1, milliseconds(300)));
            fleet.run(milliseconds(50));
            fleet.reset_connections();
            fleet.run(milliseconds(450));
        }
        fleet.run(seconds(7));
        THEN("nothing is refused, and no suspect is left") {
            CHECK(fleet.outcomes(innocent(1).fingerprint).refused == 0);
            CHECK(fleet.outcomes(innocent(1).fingerprint).served == 12);
            CHECK(fleet.leader().counts().suspects == 0);
            CHECK(fleet.leader().counts().targets_ended == 0);
        }
    }
    GIVEN("targets that leave") {
        for (std::size_t i = 0; i < 4; ++i) {
            fleet.arrive(0, innocent(1, milliseconds(300)));
            fleet.run(milliseconds(50));
            fleet.leave_targets();
            fleet.run(milliseconds(50));
        }
        THEN("no message is sent") {
            CHECK(fleet.messages() == 0);
            CHECK(fleet.account(0).suspects() == 0);
        }
    }
    GIVEN("requests under no suspicion") {
        for (std::size_t i = 0; i < 50; ++i) {
            fleet.arrive(i % 3, innocent(i));
            fleet.run(milliseconds(20));
        }
        THEN("no message is sent") {
            CHECK(fleet.messages() == 0);
        }
    }
}

SCENARIO("an account decides how a suspect may be sent") {
    crash_account account;
    time_point now{hours(1)};
    const request_fingerprint suspect(7, 7);
    const auto crash = [&](std::uint64_t number) {
        account.begin(attempt_id(number), suspect, target_id("t" + std::to_string(number)),
                      incarnation_id(1), now);
        account.end(attempt_id(number), attempt_end::disconnected, now);
    };
    const auto permission = [&] { return account.decide(suspect, now).permission; };

    CHECK(permission() == send_permission::free);
    CHECK(account.is_free(suspect, now));
    GIVEN("one broken connection") {
        crash(1);
        THEN("it is sent alone") {
            CHECK(permission() == send_permission::alone);
            CHECK_FALSE(account.is_free(suspect, now));
            REQUIRE(account.unproven_targets().size() == 1);
            CHECK(account.unproven_targets()[0].target == target_id("t1"));
            account.begin(attempt_id(2), suspect, target_id("t2"), incarnation_id(1), now);
            CHECK(permission() == send_permission::wait);
            AND_WHEN("the copy is answered") {
                account.end(attempt_id(2), attempt_end::completed, now);
                THEN("it is free again") {
                    CHECK(permission() == send_permission::free);
                    CHECK(account.suspects() == 0);
                }
            }
        }
        WHEN("the target turns out alive") {
            account.record_target_alive(target_id("t1"), incarnation_id(1), now);
            THEN("the suspicion is over, and reported so") {
                CHECK(permission() == send_permission::free);
                const auto messages = account.collect(now);
                REQUIRE(messages.size() == 2);
                CHECK(std::get<crash_report>(messages[1]).crash.status == crash_status::withdrawn);
            }
        }
        WHEN("nothing proves it for some seconds") {
            now += seconds(6);
            static_cast<void>(account.collect(now));
            THEN("the suspicion is over") {
                CHECK(permission() == send_permission::free);
            }
        }
        WHEN("another incarnation of the target is alive") {
            account.record_target_alive(target_id("t1"), incarnation_id(2), now);
            THEN("the suspicion stays") {
                CHECK(permission() == send_permission::alone);
            }
        }
    }
    GIVEN("two targets that ended") {
        crash(1);
        crash(2);
        account.record_target_ended(target_id("t1"), incarnation_id(1), now);
        account.record_target_ended(target_id("t2"), incarnation_id(1), now);
        CHECK(permission() == send_permission::wait);
        account.add_waiting(suspect);
        std::optional<trial_demand> demand;
        for (const account_message& message : account.collect(now)) {
            if (const auto* sent = std::get_if<trial_demand>(&message)) {
                demand = *sent;
            }
        }
        REQUIRE(demand);
        WHEN("a trial is granted") {
            account.handle(trial_decision{suspect, demand->number, trial_verdict::granted, {}},
                           now);
            CHECK(account.take_changed(now) == std::vector{suspect});
            THEN("one attempt may be sent") {
                CHECK(permission() == send_permission::trial);
                account.remove_waiting(suspect);
                account.begin(attempt_id(3), suspect, target_id("t3"), incarnation_id(1), now);
                CHECK(permission() == send_permission::wait);
            }
        }
        WHEN("the grant is held up") {
            now += seconds(2);
            account.handle(trial_decision{suspect, demand->number, trial_verdict::granted, {}},
                           now);
            THEN("it is given back") {
                CHECK(permission() != send_permission::refused);
                const auto messages = account.collect(now);
                CHECK(std::any_of(messages.begin(), messages.end(), [](const auto& message) {
                    const auto* ended = std::get_if<trial_end>(&message);
                    return ended != nullptr && ended->outcome == trial_outcome::unused;
                }));
            }
        }
        WHEN("no leader answers") {
            now += milliseconds(1600);
            static_cast<void>(account.collect(now));
            THEN("one trial of its own may be sent, and none after it crashed, too") {
                CHECK(permission() == send_permission::trial);
                account.remove_waiting(suspect);
                crash(3);
                account.add_waiting(suspect);
                CHECK(permission() == send_permission::wait);
                now += seconds(4);
                static_cast<void>(account.collect(now));
                CHECK(permission() == send_permission::wait);
            }
        }
    }
}

SCENARIO("tables and messages are bounded") {
    GIVEN("more suspects than an account keeps") {
        quarantine_limits limits;
        limits.max_entries = 10;
        crash_account account(limits);
        time_point now{hours(1)};
        suspect_update quarantined;
        quarantined.fingerprint = request_fingerprint(9, 9);
        quarantined.state = suspect_state::quarantined;
        quarantined.crashes = 3;
        for (std::uint64_t i = 0; i < 3; ++i) {
            quarantined.latest.push_back({target_id("q" + std::to_string(i)), incarnation_id(1),
                                          crash_status::proven, true, seconds(1)});
        }
        quarantined.next_trial_in = seconds(20);
        account.handle(quarantined, now);
        for (std::uint64_t i = 1; i <= 30; ++i) {
            account.begin(attempt_id(i), request_fingerprint(3, i), target_id("t"),
                          incarnation_id(i), now);
            account.end(attempt_id(i), attempt_end::disconnected, now);
            now += milliseconds(1);
        }
        THEN("the oldest with one crash are dropped, and the quarantined one stays") {
            CHECK(account.suspects() == 10);
            CHECK(account.crashes(request_fingerprint(3, 1)) == 0);
            CHECK(account.crashes(request_fingerprint(3, 30)) == 1);
            const send_decision decision = account.decide(quarantined.fingerprint, now);
            CHECK(decision.permission == send_permission::refused);
            CHECK(decision.retry_after > seconds(19));
        }
    }
    GIVEN("more suspects than a registry keeps") {
        quarantine_limits limits;
        limits.max_entries = 10;
        crash_registry registry(limits);
        time_point now{hours(1)};
        const request_fingerprint confirmed(9, 9);
        for (std::uint64_t i = 0; i < 3; ++i) {
            registry.handle(instance_id("a"),
                            crash_report{confirmed,
                                         {target_id("q" + std::to_string(i)), incarnation_id(1),
                                          crash_status::proven, true, seconds(0)}},
                            now);
        }
        for (std::uint64_t i = 1; i <= 30; ++i) {
            registry.handle(instance_id("a"),
                            crash_report{request_fingerprint(3, i),
                                         {target_id("t"), incarnation_id(i), crash_status::proven,
                                          false, seconds(0)}},
                            now);
            now += milliseconds(1);
        }
        THEN("the oldest with one crash are dropped, and the quarantined one stays") {
            CHECK(registry.counts().suspects == 10);
            CHECK(registry.state_of(confirmed) == suspect_state::quarantined);
            CHECK(registry.state_of(request_fingerprint(3, 1)) == suspect_state::cleared);
        }
        THEN("the quarantine is over after a day") {
            now += hours(25);
            static_cast<void>(registry.collect(now));
            CHECK(registry.state_of(confirmed) == suspect_state::cleared);
            CHECK(registry.counts().suspects == 0);
            const auto events = registry.take_events();
            CHECK(std::any_of(events.begin(), events.end(), [&](const quarantine_event& event) {
                return event.fingerprint == confirmed &&
                       event.transition == quarantine_transition::expired;
            }));
        }
    }
    GIVEN("many different requests and killed targets before 249 senders") {
        simulated_fleet fleet = make_fleet(249);
        fleet.run(seconds(5));
        for (std::uint64_t i = 0; i < 600; ++i) {
            fleet.arrive(i % 249, innocent(i, seconds(2)));
            fleet.arrive((i + 1) % 249, innocent(i, seconds(2)));
            fleet.run(milliseconds(10));
            if (i % 120 == 100) {
                fleet.kill_targets(0.6);
            }
        }
        fleet.run(seconds(8));
        THEN("the leading keeper sends and receives less than 3 MB a second") {
            CHECK(fleet.messages() > 0);
            CHECK(fleet.most_bytes_a_second() < 3'000'000);
            MESSAGE("most bytes in a second: " << fleet.most_bytes_a_second());
        }
    }
}

} // namespace kingcupcart::quarantine
