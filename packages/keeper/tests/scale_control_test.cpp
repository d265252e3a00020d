#include "keeper/internal/scale_control.h"

#include "base/manual_clock.h"
#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::keeper;
using namespace std::chrono_literals;

namespace {

class fixture {
public:
    fixture() {
        this->loop.enter();
        this->control = std::make_unique<scale_control>(
            scale_control::parameters{&this->time,
                                      [this](const duties::scale_order& order, auto on_outcome) {
                                          this->orders.push_back(order);
                                          this->outcomes.push_back(std::move(on_outcome));
                                      },
                                      [this] { return this->is_leading; }, &this->metrics});
        routes::service service{backend_name("llm"), 0, routes::engine_profile{}};
        service.engine->slots = 8;
        service.scaling = routes::replica_scaling{};
        service.scaling->max = replica_count(10);
        service.scaling->prices = {{failure_domain_id("a"), relative_price(1)},
                                   {failure_domain_id("b"), relative_price(1)}};
        routes::route_table table;
        table.services = {service, {backend_name("app"), 0, std::nullopt}};
        this->control->routes_changed(table);
        for (const std::string name : {"a", "b"}) {
            this->announce(name, name, false);
            this->announce("app-" + name, name, false, "app");
        }
    }
    ~fixture() {
        this->control.reset();
        this->loop.leave();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void announce(const std::string& id, const std::string& domain, bool is_leaving,
                  const std::string& service = "llm") {
        membership::target_record record;
        record.id = target_id(id);
        record.backend = backend_name(service);
        record.place.domain = failure_domain_id(domain);
        record.leaving = is_leaving;
        this->control->target_changed({membership::directory_event::changed, record});
    }
    /// Steps of 16 items, two of which need 4 engines.
    void report() {
        wire::model_demand demand;
        demand.service = backend_name("llm");
        demand.model = model_name("m");
        demand.largest_step_items = 16;
        this->control->demand_received({1, {demand}});
    }
    [[nodiscard]] std::string exported() {
        this->control->export_metrics();
        return this->metrics.exposition();
    }

    manual_clock time;
    task::event_loop loop;
    telemetry::metric_set metrics;
    bool is_leading = false;
    std::vector<duties::scale_order> orders;
    std::vector<std::function<void(duties::call_outcome)>> outcomes;
    std::unique_ptr<scale_control> control;
};

} // namespace

// Guards against orders of a keeper that does not hold the duties, and for services without rules.
SCENARIO("the keeper that holds the duties orders replicas") {
    fixture test;
    GIVEN("a keeper that does not hold them") {
        test.report();
        test.time.advance(10s);
        test.report();
        test.control->check_authority();
        THEN("it sends nothing") {
            CHECK(test.orders.empty());
        }
    }
    GIVEN("a keeper that holds them, and a report of the leading store") {
        test.is_leading = true;
        test.control->check_authority();
        test.time.advance(6s);
        test.report();
        THEN("it orders the engines that two steps need, one order in each domain") {
            REQUIRE(test.orders.size() == 2);
            CHECK(test.orders[0] ==
                  duties::scale_order{backend_name("llm"), failure_domain_id("a"), 2, false});
            CHECK(test.orders[1].domain == failure_domain_id("b"));
        }
        WHEN("the order is accepted") {
            test.outcomes[0](duties::call_outcome::accepted);
            THEN("the next one of the domain follows, and the metrics show both numbers") {
                REQUIRE(test.orders.size() == 3);
                CHECK(test.orders[2].is_spot);
                CHECK(test.exported().find(
                          R"(scale_replicas_ordered{service="llm",domain="a",kind="normal"} 2)") !=
                      std::string::npos);
            }
        }
        WHEN("the platform has none there") {
            test.outcomes[0](duties::call_outcome::none_available);
            test.outcomes[1](duties::call_outcome::accepted);
            THEN("the other domain gets them") {
                CHECK(test.orders.back() ==
                      duties::scale_order{backend_name("llm"), failure_domain_id("b"), 3, false});
            }
        }
        WHEN("the duties pass to another keeper while orders are open") {
            test.is_leading = false;
            test.control->leadership_changed(false);
            test.outcomes[0](duties::call_outcome::unknown);
            test.report();
            THEN("nothing is sent any more") {
                CHECK(test.orders.size() == 2);
            }
        }
    }
}
