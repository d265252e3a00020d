#include "routing/prompt_reading.h"
#include "routing/router.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::routing;
using namespace std::chrono_literals;

namespace {

const backend_name model("planner");
const location local_location{failure_domain_id("a1"), region_id("a")};
constexpr tokens short_prompt{100};
constexpr tokens long_prompt{8000};
/// An engine reads a long prompt in 2 s.
constexpr std::int64_t tokens_per_second = 4000;

struct sent_prompt {
    target_id target;
    tokens prompt;
    time_point arrived;
    time_point sent;
    time_point read;
};

/// Engines that read prompts in order of arrival, each at the same speed.
class engines {
public:
    explicit engines(int count) {
        for (int i = 0; i < count; ++i) {
            const target_id id("e" + std::to_string(i));
            this->subject.update_target({id, model, local_location, 64, false});
        }
    }

    /// Queues the prompt at the engine that the router chooses; false if the router finds no room.
    /// An unstated prompt is what the router knows of callers that state no size.
    bool send(tokens prompt, bool is_stated, time_point arrived, time_point now) {
        route_query query;
        query.backend = model;
        query.prompt = is_stated ? prompt : tokens();
        const route_choice choice = this->subject.choose(query, now);
        if (!choice.target) {
            return false;
        }
        time_point& free_at = this->free_at[*choice.target];
        const auto reading = duration(std::chrono::seconds(1)) * prompt.count() / tokens_per_second;
        free_at = std::max(free_at, now) + reading;
        this->subject.record_sent(*choice.target, urgency::short_work, now, query.prompt);
        this->unread.push_back({*choice.target, prompt, arrived, now, free_at});
        return true;
    }
    void advance(time_point now) {
        std::erase_if(this->unread, [&](const sent_prompt& each) {
            if (each.read > now) {
                return false;
            }
            this->subject.record_first_output(each.target, urgency::short_work, each.sent,
                                              each.read);
            this->subject.record_finished(each.target, urgency::short_work, each.sent, true,
                                          each.read);
            this->read.push_back(each);
            return true;
        });
    }
    [[nodiscard]] std::size_t long_readers() const {
        std::map<target_id, int> readers;
        for (const sent_prompt& each : this->unread) {
            readers[each.target] += each.prompt == long_prompt ? 1 : 0;
        }
        return static_cast<std::size_t>(std::count_if(
            readers.begin(), readers.end(), [](const auto& entry) { return entry.second > 0; }));
    }

    router subject{local_location, {}, 1};
    std::map<target_id, time_point> free_at;
    std::vector<sent_prompt> unread;
    std::vector<sent_prompt> read;
};

struct replay_result {
    /// Time from arrival to the end of reading.
    duration short_p50{};
    duration short_p99{};
    duration long_p50{};
    duration long_p99{};
    std::size_t max_long_readers = 0;
};

duration percentile(std::vector<duration> values, double share) {
    std::sort(values.begin(), values.end());
    return values.at(static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share));
}

/// 60 s of 50 short prompts and 2 long ones a second on 8 engines: half of what they can read.
replay_result replay(bool is_stated) {
    engines subjects(8);
    std::vector<std::pair<tokens, time_point>> waiting;
    replay_result result;
    const time_point start = time_point() + 1h;
    for (int tick = 0; tick < 6000; ++tick) {
        const time_point now = start + 10ms * tick;
        subjects.advance(now);
        if (tick % 2 == 0) {
            waiting.emplace_back(short_prompt, now);
        }
        if (tick % 50 == 25) {
            waiting.emplace_back(long_prompt, now);
        }
        // Short prompts do not wait behind long ones that find no room.
        std::erase_if(waiting, [&](const auto& each) {
            return subjects.send(each.first, is_stated, each.second, now);
        });
        if (tick > 1500) {
            result.max_long_readers = std::max(result.max_long_readers, subjects.long_readers());
        }
    }
    std::vector<duration> short_waits;
    std::vector<duration> long_waits;
    for (const sent_prompt& each : subjects.read) {
        if (each.arrived > start + 15s) {
            (each.prompt == long_prompt ? long_waits : short_waits)
                .push_back(each.read - each.arrived);
        }
    }
    result.short_p50 = percentile(short_waits, 0.5);
    result.short_p99 = percentile(short_waits, 0.99);
    result.long_p50 = percentile(long_waits, 0.5);
    result.long_p99 = percentile(long_waits, 0.99);
    return result;
}

long in_milliseconds(duration time) {
    return static_cast<long>(time / 1ms);
}

void print(const char* policy, const replay_result& result) {
    MESSAGE(policy << ": short p50 " << in_milliseconds(result.short_p50) << " ms, p99 "
                   << in_milliseconds(result.short_p99) << " ms; long p50 "
                   << in_milliseconds(result.long_p50) << " ms, p99 "
                   << in_milliseconds(result.long_p99) << " ms; long readers at most "
                   << result.max_long_readers);
}

} // namespace

SCENARIO("the reading speed is learned from long prompts") {
    prompt_reading subject;
    THEN("nothing is held back before the first one") {
        CHECK(subject.time_to_read(long_prompt) == duration::zero());
        CHECK(subject.may_send_behind(long_prompt));
        CHECK_FALSE(subject.is_long(long_prompt));
    }
    WHEN("short prompts were read, whose times are those of connections and queues") {
        subject.observe(short_prompt, 1s);
        THEN("nothing is learned") {
            CHECK(subject.time_to_read(long_prompt) == duration::zero());
        }
    }
    WHEN("a long prompt was read in 2 s") {
        subject.observe(long_prompt, 2s);
        THEN("half as many tokens take half of the time") {
            CHECK(in_milliseconds(subject.time_to_read(tokens(4000))) == 1000);
        }
        THEN("a long prompt is long, and no other one is sent behind it") {
            CHECK(subject.is_long(long_prompt));
            CHECK_FALSE(subject.may_send_behind(long_prompt));
        }
        THEN("a short one is not, and others may follow it") {
            CHECK_FALSE(subject.is_long(short_prompt));
            CHECK(subject.may_send_behind(short_prompt));
        }
    }
    WHEN("engines read a long prompt within a few milliseconds") {
        subject.observe(long_prompt, 14ms);
        THEN("no prompt of that size is long") {
            CHECK_FALSE(subject.is_long(long_prompt));
        }
    }
}

SCENARIO("short prompts do not wait for long ones on the same engines") {
    GIVEN("callers that do not state the sizes of their prompts") {
        const replay_result unstated = replay(false);
        print("sizes unknown", unstated);
        WHEN("the same load with the sizes stated") {
            const replay_result stated = replay(true);
            print("sizes stated", stated);
            THEN("short prompts are read within the latency objective of interactive callers") {
                CHECK(stated.short_p99 <= 200ms);
                CHECK(unstated.short_p99 > 200ms);
            }
            THEN("long prompts wait no longer than they did") {
                CHECK(stated.long_p99 <= unstated.long_p99);
            }
            THEN("half of the engines at most read long prompts at a time") {
                CHECK(stated.max_long_readers <= 4);
            }
        }
    }
}

SCENARIO("one engine serves both kinds") {
    engines subjects(1);
    const time_point start = time_point() + 1h;
    REQUIRE(subjects.send(long_prompt, true, start, start));
    subjects.advance(start + 2s);
    GIVEN("it reads a long prompt") {
        REQUIRE(subjects.send(long_prompt, true, start + 3s, start + 3s));
        THEN("a short one waits here, where it can still go elsewhere") {
            CHECK_FALSE(subjects.send(short_prompt, true, start + 3s, start + 3s));
        }
        THEN("it is sent once the long one is read") {
            subjects.advance(start + 5s);
            CHECK(subjects.send(short_prompt, true, start + 3s, start + 5s));
        }
        THEN("it is sent once the engine that read is gone and has returned") {
            subjects.subject.remove_target(target_id("e0"));
            subjects.subject.update_target({target_id("e0"), model, local_location, 64, false});
            CHECK(subjects.send(short_prompt, true, start + 3s, start + 4s));
        }
    }
}
