#include "rollout/load_planner.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::rollout;
using namespace std::chrono_literals;

namespace {

/// A planner with engines that carry orders out as told.
class fixture {
public:
    explicit fixture(int engines, std::vector<std::string> models = {"m"}) {
        service_models service;
        service.service = backend_name("llm");
        service.mode = load_mode::retain;
        for (const std::string& model : models) {
            service.models.emplace_back(model);
        }
        this->notify(services_changed{{service}});
        for (int i = 0; i < engines; ++i) {
            this->add(std::string(1, static_cast<char>('a' + i)));
        }
    }
    void add(const std::string& id, bool is_restarted = false) {
        engine_weights made;
        made.engine = target_id(id);
        made.service = backend_name("llm");
        this->notify(engine_seen{made, is_restarted});
    }
    void notify(const planner_message& said) {
        for (const planner_action& one : this->part.handle(said, this->now)) {
            if (const auto* load = std::get_if<send_load>(&one)) {
                this->loads.push_back(*load);
            } else if (const auto* asked = std::get_if<ask_report>(&one)) {
                this->asked.push_back(asked->engine.value());
            } else if (const auto* loaded = std::get_if<weights_loaded>(&one)) {
                this->loaded.insert(loaded->engine.value());
            }
        }
    }
    void lead() {
        this->notify(authority_changed{true});
        this->report_all();
    }
    void name(std::uint64_t version, const std::string& model = "m") {
        this->notify(version_named{model_name(model), weight_version(version)});
    }
    /// Each engine that was asked reports that it is idle with the version.
    void report_all(std::uint64_t version = 1, const std::string& model = "m") {
        const auto asked_now = std::exchange(this->asked, {});
        for (const std::string& id : asked_now) {
            engine_reported said{target_id(id), this->orders, false, {}};
            said.versions.push_back({model_name(model), weight_version(version)});
            this->notify(said);
        }
    }

    load_planner part;
    time_point now = time_point(100s);
    std::uint64_t orders = 0;
    std::vector<send_load> loads;
    std::vector<std::string> asked;
    std::set<std::string> loaded;
};

} // namespace

SCENARIO("new weights reach the engines in waves") {
    fixture test(10);
    GIVEN("a version that was named while another instance gives the orders") {
        test.name(3);
        THEN("nothing is ordered here") {
            CHECK(test.loads.empty());
        }
        WHEN("this one may give orders") {
            test.lead();
            THEN("a fifth of the engines begins, after each said what it has accepted") {
                REQUIRE(test.loads.size() == 2);
                CHECK(test.loads[0].version == weight_version(3));
                CHECK(test.loads[0].mode == load_mode::retain);
            }
            AND_WHEN("they are done") {
                for (const send_load& one : std::vector(test.loads)) {
                    test.notify(order_answered{one.engine, order_answer::accepted});
                }
                test.now += 1s;
                test.notify(timer_expired{});
                REQUIRE(test.asked.size() == 2);
                test.orders = 1;
                test.report_all(3);
                THEN("the next ones begin") {
                    CHECK(test.loaded.size() == 10);
                    CHECK(test.loads.size() == 4);
                }
            }
        }
    }
    GIVEN("an order whose answer is lost") {
        test.lead();
        test.name(3);
        test.report_all();
        const send_load first = test.loads.at(0);
        test.notify(order_answered{first.engine, order_answer::unknown});
        test.now += 1s;
        test.notify(timer_expired{});
        THEN("the engine is asked before anything is ordered again") {
            REQUIRE(test.asked.size() >= 1);
            CHECK(test.asked[0] == first.engine.value());
            test.orders = 3;
            test.report_all(1);
            for (std::size_t i = 1;
                 i < test.loads.size() && test.loads.back().engine != first.engine; ++i) {
                test.notify(order_answered{test.loads[i].engine, order_answer::holds});
            }
            CHECK(test.loads.back().engine == first.engine);
            CHECK(test.loads.back().orders_expected == 3);
        }
    }
    GIVEN("a version that is overtaken before all have it") {
        test.lead();
        test.name(3);
        test.report_all();
        test.name(4);
        test.notify(order_answered{test.loads[0].engine, order_answer::holds});
        THEN("the others go straight to the newest") {
            CHECK(test.loads.back().version == weight_version(4));
        }
    }
}

SCENARIO("engines that several models share load every other version, as long as jobs allow it") {
    fixture test(20, {"m", "n"});
    test.lead();
    const auto load_all = [&] {
        std::set<std::string> loaded;
        for (int i = 0; i < 20; ++i) {
            test.report_all();
            for (const send_load& one : std::exchange(test.loads, {})) {
                loaded.insert(one.engine.value());
                test.notify(order_answered{one.engine, order_answer::holds});
            }
            test.now += 1s;
            test.notify(timer_expired{});
        }
        return loaded;
    };
    GIVEN("two versions, one after the other") {
        test.name(2);
        const auto first = load_all();
        test.name(3);
        const auto second = load_all();
        THEN("one half loads the first, the other half the second") {
            CHECK(first.size() == 5);
            CHECK(second.size() == 5);
            for (const std::string& engine : first) {
                CHECK_FALSE(second.contains(engine));
            }
        }
    }
    GIVEN("a job that takes the newest weights only") {
        test.name(2);
        test.notify(version_needed{model_name("m"), weight_version(2)});
        THEN("all engines load them") {
            CHECK(load_all().size() == 10);
        }
    }
}

SCENARIO("engines are divided among the models") {
    fixture test(4, {"m", "n"});
    test.lead();
    WHEN("both are named") {
        test.name(3, "m");
        test.name(3, "n");
        test.report_all();
        std::set<std::string> of_m;
        std::set<std::string> of_n;
        for (int i = 0; i < 8; ++i) {
            const std::vector<send_load> loads = std::exchange(test.loads, {});
            for (const send_load& one : loads) {
                (one.model == model_name("m") ? of_m : of_n).insert(one.engine.value());
                test.notify(order_answered{one.engine, order_answer::holds});
            }
            test.now += 1s;
            test.notify(timer_expired{});
        }
        THEN("each engine loads one of them") {
            CHECK(of_m.size() == 2);
            CHECK(of_n.size() == 2);
        }
    }
}
