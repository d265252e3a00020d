#include "duties/usage_counter.h"
#include "duties/usage_ledger.h"
#include "duties/usage_windows.h"
#include "replicated/replicated_state.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::duties;
using namespace std::chrono_literals;

namespace {

const usage_windows windows({5s, 10s});
const account_name first_account("a");
const account_name second_account("b");

wall_time at(std::chrono::milliseconds moment) {
    return wall_time(moment);
}

usage_ledger::source gateway(const char* id, std::uint64_t incarnation = 1) {
    return {instance_id(id), incarnation_id(incarnation)};
}

} // namespace

TEST_CASE("windows of usage") {
    SUBCASE("are numbered from the start of 1970") {
        CHECK(windows.window_of(at(std::chrono::seconds(1767225600))) == 353445120);
        CHECK(windows.window_of(at(4999ms)) == 0);
        CHECK(windows.window_of(at(5000ms)) == 1);
        CHECK(windows.end_of(1) == at(10s));
    }
    SUBCASE("are committed early enough for a change of leader before the report is due") {
        CHECK_FALSE(windows.next_to_commit(6, 3, at(42499ms)));
        CHECK(windows.next_to_commit(6, 3, at(42500ms)) == 7);
        // An election and the lease of the earlier holder, with its margin.
        CHECK(windows.commit_time_of(7) + 1s + 3300ms < windows.due_time_of(7) - 3s);
    }
    SUBCASE("begin with the first one in which there were accounts") {
        CHECK(windows.next_to_commit(0, 3, at(60s)) == 3);
    }
    SUBCASE("are skipped after an outage that exceeds the backlog") {
        CHECK(windows.next_to_commit(6, 3, at(5000s)) == 1000 - 60);
    }
}

// Guards against counts that are lost or doubled when a gateway or keeper ends or a link breaks.
TEST_CASE("counts of gateways at a keeper") {
    usage_counter counter(windows);
    usage_ledger ledger(windows);
    counter.add(first_account, at(12s));
    counter.add(first_account, at(14s));
    counter.add(second_account, at(15s));
    counter.add(account_name(), at(12s));
    ledger.record(gateway("g"), at(15s), counter.take_changes());

    SUBCASE("are those of the window in which each request began") {
        CHECK(ledger.sum(2) == usage_report{2, {{first_account, 2}}});
        CHECK(ledger.sum(3) == usage_report{3, {{second_account, 1}}});
        CHECK(ledger.sum(4) == usage_report{4, {}});
    }
    SUBCASE("are sent again only where they have changed") {
        CHECK(counter.take_changes().empty());
        counter.add(first_account, at(13s));
        CHECK(counter.take_changes() ==
              std::vector<usage_report>{usage_report{2, {{first_account, 3}}}});
    }
    SUBCASE("count once when they are sent again to a keeper that was unreachable") {
        ledger.record(gateway("g"), at(16s), counter.all());
        CHECK(ledger.sum(2).counts.at(first_account) == 2);
    }
    SUBCASE("add up over gateways and over the incarnations of a gateway that was killed") {
        ledger.record(gateway("h"), at(15s), {{2, {{first_account, 1}}}});
        ledger.record(gateway("g", 2), at(15s), {{2, {{first_account, 4}}}});
        CHECK(ledger.sum(2).counts.at(first_account) == 7);
    }
    SUBCASE("are reported as possibly missing where a gateway ended within the window") {
        ledger.record(gateway("h"), at(18s), {});
        ledger.record(gateway("h"), at(21s), {});
        CHECK(ledger.incomplete(3) == std::vector<instance_id>{instance_id("g")});
    }
    SUBCASE("don't change a committed window, and are reported as late") {
        ledger.committed(2);
        CHECK(ledger.record(gateway("g"), at(16s), counter.all()) == 0);
        counter.add(first_account, at(13s));
        CHECK(ledger.record(gateway("g"), at(17s), counter.take_changes()) == 1);
    }
}

// Guards against two reports of a window with different counts, around a change of leader.
TEST_CASE("committed counts") {
    replicated::replicated_state state;
    const std::vector<replicated::account_usage> counts{{first_account, 2}};
    state.apply(replicated::commit_usage{7, counts, 0});

    SUBCASE("of a window are those that were committed first") {
        state.apply(replicated::commit_usage{7, {{first_account, 3}}, 0});
        state.apply(replicated::commit_usage{6, {{first_account, 9}}, 0});
        REQUIRE(state.usage().windows.size() == 1);
        CHECK(state.usage().windows[0].counts == counts);
    }
    SUBCASE("are the same for the next leader after a snapshot") {
        replicated::replicated_state restored;
        restored.load(state.save());
        CHECK(restored.usage() == state.usage());
    }
    SUBCASE("are stored until they are reported") {
        state.apply(replicated::commit_usage{8, counts, 0});
        state.apply(replicated::commit_usage{9, counts, 7});
        REQUIRE(state.usage().windows.size() == 2);
        CHECK(state.usage().windows[0].window == 8);
        CHECK(state.usage().last_window == 9);
    }
    SUBCASE("are bounded while the platform is unreachable") {
        for (std::uint64_t window = 8; window < 200; ++window) {
            state.apply(replicated::commit_usage{window, counts, 0});
        }
        CHECK(state.usage().windows.size() == replicated::replicated_state::max_usage_windows);
        CHECK(state.usage().windows.back().window == 199);
    }
}

// The bound is that of the users: 5% of each account's count.
TEST_CASE("the counts of 88 accounts at 12 requests a second are exact") {
    std::mt19937_64 random(1);
    std::vector<usage_counter> counters(8, usage_counter(windows));
    usage_ledger ledger(windows);
    std::map<std::uint64_t, std::map<account_name, std::uint64_t>> truth;
    for (int second = 0; second < 600; ++second) {
        for (int i = 0; i < 12; ++i) {
            const wall_time began =
                at(std::chrono::seconds(second) + std::chrono::milliseconds(random() % 1000));
            const account_name account("account" + std::to_string(random() % 88));
            counters[random() % counters.size()].add(account, began);
            ++truth[windows.window_of(began)][account];
        }
        for (std::size_t i = 0; i < counters.size(); ++i) {
            // One in ten updates is lost with its link, after which all counts are sent.
            const auto changes = counters[i].take_changes();
            ledger.record(gateway(std::to_string(i).c_str()), at(std::chrono::seconds(second + 1)),
                          random() % 10 == 0 ? counters[i].all() : changes);
        }
    }
    for (const auto& [window, counts] : truth) {
        CHECK(ledger.sum(window).counts == counts);
    }
}

// Wall clocks of gateways differ. A request may then be counted in the neighbouring window, but it
// is neither lost nor counted twice, and only requests close to a window's end are concerned.
TEST_CASE("gateways whose clocks differ by 100 ms misplace only requests near a window's end") {
    constexpr std::chrono::milliseconds max_offset = 100ms;
    std::mt19937_64 random(2);
    usage_ledger ledger(windows);
    std::map<std::uint64_t, std::uint64_t> near_end;
    std::map<std::uint64_t, std::uint64_t> truth;
    std::uint64_t misplaced = 0;
    for (int i = 0; i < 8; ++i) {
        usage_counter counter(windows);
        const auto offset = std::chrono::milliseconds(random() % 201) - max_offset;
        for (int request = 0; request < 900; ++request) {
            const wall_time began = at(10s + std::chrono::milliseconds(random() % 600000));
            counter.add(first_account, began + offset);
            const std::uint64_t window = windows.window_of(began);
            ++truth[window];
            if (windows.window_of(began - max_offset) != window) {
                ++near_end[window - 1];
                ++near_end[window];
            }
            if (windows.window_of(began + max_offset) != window) {
                ++near_end[window];
                ++near_end[window + 1];
            }
            misplaced += windows.window_of(began + offset) == window ? 0 : 1;
        }
        ledger.record(gateway(std::to_string(i).c_str()), at(620s), counter.all());
    }
    std::uint64_t total = 0;
    for (std::uint64_t window = 0; window < 130; ++window) {
        const usage_report sum = ledger.sum(window);
        const auto found = sum.counts.find(first_account);
        const std::uint64_t counted = found == sum.counts.end() ? 0 : found->second;
        total += counted;
        CHECK(counted <= truth[window] + near_end[window]);
        CHECK(counted + near_end[window] >= truth[window]);
    }
    CHECK(total == 8 * 900);
    MESSAGE("misplaced requests: ", misplaced, " of ", total);
}
