#include "rollout/load_planner.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::rollout;
using namespace std::chrono_literals;

namespace {

/// A load planner, its clock and the actions that it has returned.
class fixture {
public:
    explicit fixture(int engines, std::vector<std::string> models = {"m"}) {
        service_models service;
        service.service = backend_name("llm");
        service.mode = load_mode::retain;
        for (const std::string& model : models) {
            service.models.emplace_back(model);
        }
        this->dispatch(services_changed{{service}});
        for (int i = 0; i < engines; ++i) {
            this->add(std::string(1, static_cast<char>('a' + i)));
        }
    }
    void add(const std::string& id, bool is_restarted = false) {
        engine_weights added;
        added.engine = target_id(id);
        added.service = backend_name("llm");
        this->dispatch(engine_updated{added, is_restarted});
    }
    void dispatch(const planner_message& message) {
        for (const planner_action& action : this->planner.handle(message, this->now)) {
            if (const auto* load = std::get_if<send_load_order>(&action)) {
                this->loads.push_back(*load);
            } else if (const auto* request = std::get_if<request_report>(&action)) {
                this->report_requests.push_back(request->engine.value());
            } else if (const auto* loaded = std::get_if<weights_loaded>(&action)) {
                this->loaded.insert(loaded->engine.value());
            } else if (const auto* reassigned = std::get_if<engine_reassigned>(&action)) {
                this->reassigned.push_back(*reassigned);
            }
        }
    }
    void gain_authority() {
        this->dispatch(authority_changed{true});
        this->respond_to_report_requests();
    }
    void publish(std::uint64_t version, const std::string& model = "m") {
        this->dispatch(model_version{model_name(model), weight_version(version)});
    }
    /// Responds to each pending report request: the engine is idle and has the version.
    void respond_to_report_requests(std::uint64_t version = 1, const std::string& model = "m") {
        const auto requests = std::exchange(this->report_requests, {});
        for (const std::string& id : requests) {
            engine_report report{target_id(id), this->orders_accepted, false, {}};
            report.versions.push_back({model_name(model), weight_version(version)});
            this->dispatch(report);
        }
    }

    load_planner planner;
    time_point now = time_point(100s);
    /// Number of accepted orders that the engines report.
    std::uint64_t orders_accepted = 0;
    std::vector<send_load_order> loads;
    std::vector<std::string> report_requests;
    std::set<std::string> loaded;
    std::vector<engine_reassigned> reassigned;
};

} // namespace

SCENARIO("engines load a new version in batches of limited size") {
    fixture test(10);
    GIVEN("a version that is published while another instance has the authority to send load "
          "orders") {
        test.publish(3);
        THEN("this instance sends no load orders") {
            CHECK(test.loads.empty());
        }
        WHEN("this instance gains the authority") {
            test.gain_authority();
            THEN("a fifth of the engines loads, after each engine reported how many orders it has "
                 "accepted") {
                REQUIRE(test.loads.size() == 2);
                CHECK(test.loads[0].version == weight_version(3));
                CHECK(test.loads[0].mode == load_mode::retain);
            }
            AND_WHEN("these engines have loaded the version") {
                for (const send_load_order& load : std::vector(test.loads)) {
                    test.dispatch(load_order_response{load.engine, load_order_result::accepted});
                }
                test.now += 1s;
                test.dispatch(timer_expired{});
                REQUIRE(test.report_requests.size() == 2);
                test.orders_accepted = 1;
                test.respond_to_report_requests(3);
                THEN("the next two engines load") {
                    CHECK(test.loaded.size() == 10);
                    CHECK(test.loads.size() == 4);
                }
            }
        }
    }
    GIVEN("a load order without a response") {
        test.gain_authority();
        test.publish(3);
        test.respond_to_report_requests();
        const send_load_order first = test.loads.at(0);
        test.dispatch(load_order_response{first.engine, load_order_result::unknown});
        test.now += 1s;
        test.dispatch(timer_expired{});
        THEN("the planner requests a report of the engine before it sends the engine another "
             "order") {
            REQUIRE(test.report_requests.size() >= 1);
            CHECK(test.report_requests[0] == first.engine.value());
            test.orders_accepted = 3;
            test.respond_to_report_requests(1);
            for (std::size_t i = 1;
                 i < test.loads.size() && test.loads.back().engine != first.engine; ++i) {
                test.dispatch(load_order_response{test.loads[i].engine, load_order_result::holds});
            }
            CHECK(test.loads.back().engine == first.engine);
            CHECK(test.loads.back().orders_expected == 3);
        }
    }
    GIVEN("a newer version that is published before all engines have loaded the first one") {
        test.gain_authority();
        test.publish(3);
        test.respond_to_report_requests();
        test.publish(4);
        test.dispatch(load_order_response{test.loads[0].engine, load_order_result::holds});
        THEN("the remaining engines load the newest version directly") {
            CHECK(test.loads.back().version == weight_version(4));
        }
    }
}

SCENARIO("engines of a service with several models load every other version while jobs accept the "
         "version before the newest") {
    fixture test(20, {"m", "n"});
    test.gain_authority();
    const auto load_all = [&] {
        std::set<std::string> loaded;
        for (int i = 0; i < 20; ++i) {
            test.respond_to_report_requests();
            for (const send_load_order& load : std::exchange(test.loads, {})) {
                loaded.insert(load.engine.value());
                test.dispatch(load_order_response{load.engine, load_order_result::holds});
            }
            test.now += 1s;
            test.dispatch(timer_expired{});
        }
        return loaded;
    };
    GIVEN("two successive versions") {
        test.publish(2);
        const auto first = load_all();
        test.publish(3);
        const auto second = load_all();
        THEN("half of the model's engines loads the first, the other half the second") {
            CHECK(first.size() == 5);
            CHECK(second.size() == 5);
            for (const std::string& engine : first) {
                CHECK_FALSE(second.contains(engine));
            }
        }
    }
    GIVEN("an open job that accepts only the newest weights") {
        test.publish(2);
        test.dispatch(required_version{model_name("m"), weight_version(2)});
        THEN("all engines of the model load them") {
            CHECK(load_all().size() == 10);
        }
    }
}

SCENARIO("engines are divided evenly among the models of their service") {
    fixture test(4, {"m", "n"});
    test.gain_authority();
    WHEN("both models have a new version") {
        test.publish(3, "m");
        test.publish(3, "n");
        test.respond_to_report_requests();
        std::set<std::string> engines_of_m;
        std::set<std::string> engines_of_n;
        for (int i = 0; i < 8; ++i) {
            const std::vector<send_load_order> loads = std::exchange(test.loads, {});
            for (const send_load_order& load : loads) {
                (load.model == model_name("m") ? engines_of_m : engines_of_n)
                    .insert(load.engine.value());
                test.dispatch(load_order_response{load.engine, load_order_result::holds});
            }
            test.now += 1s;
            test.dispatch(timer_expired{});
        }
        THEN("each model is loaded by half of the engines") {
            CHECK(engines_of_m.size() == 2);
            CHECK(engines_of_n.size() == 2);
        }
    }
}

// Guards against equal shares for unequal work: a model with twice the work was late all day.
SCENARIO("engines are divided among the models of their service by demand") {
    GIVEN("the work of the four trainers of a deployment of 48 engines") {
        const std::vector<model_name> models{model_name("subject"), model_name("authority"),
                                             model_name("series"), model_name("shelfmark")};
        const model_counts counts = divide_engines(
            48, models,
            {{models[0], 1536}, {models[1], 3024}, {models[2], 3192}, {models[3], 1568}});
        THEN("the shares are proportional") {
            CHECK(counts.at(models[0]) == 8);
            CHECK(counts.at(models[1]) == 16);
            CHECK(counts.at(models[2]) == 16);
            CHECK(counts.at(models[3]) == 8);
        }
    }
    GIVEN("a model with few long items and one with many short ones, of the same work") {
        const std::map<model_name, model_demand> demand{
            {model_name("long"),
             {backend_name("llm"), model_name("long"), tokens_per_second(900), 50}},
            {model_name("short"),
             {backend_name("llm"), model_name("short"), tokens_per_second(900), 150}}};
        THEN("the short ones get more engines, for their slots") {
            const auto weights = weights_of(demand);
            CHECK(weights.at(model_name("long")) == doctest::Approx(0.375));
            CHECK(weights.at(model_name("short")) == doctest::Approx(0.625));
        }
    }
    GIVEN("fewer engines than models, and a model without work") {
        const std::vector<model_name> models{model_name("m"), model_name("n"), model_name("o")};
        const model_counts few = divide_engines(2, models, {{models[0], 9}});
        const model_counts enough = divide_engines(10, models, {{models[0], 9}});
        THEN("no model gets more than one engine of the few, and each gets two of enough") {
            CHECK(few.at(models[0]) + few.at(models[1]) + few.at(models[2]) == 2);
            CHECK(enough.at(models[0]) == 6);
            CHECK(enough.at(models[1]) == 2);
        }
    }
    GIVEN("9 engines of two models, one with more than twice the work of the other") {
        fixture test(9, {"m", "n"});
        test.gain_authority();
        test.dispatch(
            demand_changed{{{backend_name("llm"), model_name("m"), tokens_per_second(1232), 112},
                            {backend_name("llm"), model_name("n"), tokens_per_second(3024), 112}}});
        test.now += 60s;
        test.dispatch(timer_expired{});
        THEN("the difference of one engine is not worth a load") {
            CHECK(test.reassigned.empty());
        }
    }
    GIVEN("20 engines that two models share equally") {
        fixture test(20, {"m", "n"});
        test.gain_authority();
        const auto report = [&](double m, double n) {
            test.dispatch(
                demand_changed{{{backend_name("llm"), model_name("m"), tokens_per_second(m), 0},
                                {backend_name("llm"), model_name("n"), tokens_per_second(n), 0}}});
        };
        WHEN("one has three times the work for a moment only") {
            report(3000, 1000);
            test.now += 5s;
            test.dispatch(timer_expired{});
            report(1000, 1000);
            test.now += 20s;
            test.dispatch(timer_expired{});
            THEN("no engine is reassigned") {
                CHECK(test.reassigned.empty());
            }
        }
        WHEN("their work differs by less than two engines") {
            report(1100, 1000);
            test.now += 60s;
            test.dispatch(timer_expired{});
            THEN("no engine is reassigned") {
                CHECK(test.reassigned.empty());
            }
        }
        WHEN("one has three times the work for longer") {
            report(3000, 1000);
            test.now += 11s;
            test.dispatch(timer_expired{});
            THEN("it gets three quarters of the engines, once") {
                REQUIRE(test.reassigned.size() == 5);
                CHECK(test.reassigned.back().engines_of_to == 15);
                test.now += 60s;
                test.dispatch(timer_expired{});
                CHECK(test.reassigned.size() == 5);
            }
            AND_WHEN("an engine joins, and the reports stop") {
                test.add("z");
                test.now += 60s;
                test.dispatch(timer_expired{});
                THEN("the assignment stays") {
                    CHECK(test.reassigned.size() == 5);
                }
            }
        }
    }
}

// Guards against weight loads on most engines after a change of leader: the new leader has not seen
// the demand, and would assign the engines to models anew.
SCENARIO("a new leader adopts the assignment of the earlier one") {
    fixture test(8, {"m", "n"});
    GIVEN("engines that an earlier leader gave six to one model") {
        test.publish(20, "m");
        test.publish(20, "n");
        for (int i = 0; i < 8; ++i) {
            engine_weights state;
            state.engine = target_id(std::string(1, static_cast<char>('a' + i)));
            state.service = backend_name("llm");
            state.versions[model_name("m")] = weight_version(i < 6 ? 20 : 3);
            state.versions[model_name("n")] = weight_version(i < 6 ? 3 : 20);
            test.dispatch(engine_updated{state, false});
        }
        test.dispatch(
            demand_changed{{{backend_name("llm"), model_name("m"), tokens_per_second(3000), 0},
                            {backend_name("llm"), model_name("n"), tokens_per_second(1000), 0}}});
        WHEN("this keeper gains the authority to send load orders") {
            test.gain_authority();
            test.now += 60s;
            test.dispatch(timer_expired{});
            THEN("no engine has to load") {
                CHECK(test.loads.empty());
                CHECK(test.reassigned.empty());
            }
        }
    }
}
