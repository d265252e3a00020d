#include "rollout/load_planner.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::rollout;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 50ms;
/// Time of a load while at most `full_speed_loads` are in progress; more share the bandwidth.
constexpr duration single_load = 900ms;
constexpr int full_speed_loads = 10;

/// Engines that load their weights from one store, and the planner that orders the loads.
class loading_fleet {
public:
    loading_fleet(int engines, int models) {
        service_models service;
        service.service = backend_name("llm");
        service.mode = load_mode::retain;
        for (int i = 0; i < models; ++i) {
            service.models.emplace_back("m" + std::to_string(i));
        }
        this->models = service.models;
        this->dispatch(services_changed{{service}});
        for (int i = 0; i < engines; ++i) {
            engine_weights added;
            added.engine = target_id("e" + std::to_string(i));
            added.service = service.service;
            for (const model_name& model : this->models) {
                added.versions[model] = weight_version(1);
            }
            this->engines[added.engine].weights = added;
            this->dispatch(engine_updated{added, false});
        }
        this->dispatch(authority_changed{true});
    }

    /// Plays the time, with a version of each model every 4 s, the models in turn.
    void play(duration time) {
        const time_point end = this->now + time;
        while (this->now < end) {
            this->now += step;
            const auto elapsed = this->now - time_point(100s);
            for (std::size_t i = 0; i < this->models.size(); ++i) {
                if ((elapsed + static_cast<duration::rep>(i) * 1s) % 4s == 0s) {
                    weight_version& newest = this->newest[this->models[i]];
                    newest = weight_version(std::max<std::uint64_t>(1, newest.value()) + 1);
                    this->dispatch(model_version{this->models[i], newest});
                }
            }
            this->load();
            this->dispatch(timer_expired{});
        }
    }

    /// Engines that have the newest version of the model or the one before.
    [[nodiscard]] std::size_t useful_count(const model_name& model) const {
        const auto newest = this->newest.find(model);
        const std::uint64_t oldest = newest == this->newest.end() ? 1 : newest->second.value() - 1;
        return static_cast<std::size_t>(
            std::count_if(this->engines.begin(), this->engines.end(), [&](const auto& entry) {
                return !entry.second.is_loading &&
                       entry.second.weights.versions.at(model).value() >= oldest;
            }));
    }

    std::vector<model_name> models;
    std::size_t completed_loads = 0;

private:
    struct engine {
        engine_weights weights;
        bool is_loading = false;
        model_version ordered;
        double progress = 0;
        std::uint64_t orders_accepted = 0;
    };

    void load() {
        const auto loading =
            std::count_if(this->engines.begin(), this->engines.end(),
                          [](const auto& entry) { return entry.second.is_loading; });
        const double speed =
            std::min(1.0, full_speed_loads / std::max(1.0, static_cast<double>(loading)));
        for (auto& [id, loaded] : this->engines) {
            if (!loaded.is_loading) {
                continue;
            }
            loaded.progress += speed * (std::chrono::duration<double>(step) /
                                        std::chrono::duration<double>(single_load));
            if (loaded.progress >= 1) {
                loaded.is_loading = false;
                loaded.weights.versions[loaded.ordered.model] = loaded.ordered.version;
                ++this->completed_loads;
            }
        }
    }

    void dispatch(const planner_message& message) {
        for (const planner_action& action : this->planner.handle(message, this->now)) {
            if (const auto* order = std::get_if<send_load_order>(&action)) {
                engine& ordered = this->engines.at(order->engine);
                ordered.is_loading = true;
                ordered.progress = 0;
                ordered.ordered = {order->model, order->version};
                ++ordered.orders_accepted;
                this->dispatch(load_order_response{order->engine, load_order_result::accepted});
            } else if (const auto* request = std::get_if<request_report>(&action)) {
                const engine& asked = this->engines.at(request->engine);
                engine_report report{request->engine, asked.orders_accepted, asked.is_loading, {}};
                for (const auto& [model, version] : asked.weights.versions) {
                    report.versions.push_back({model, version});
                }
                this->dispatch(report);
            }
        }
    }

    load_planner planner;
    time_point now = time_point(100s);
    std::map<target_id, engine> engines;
    std::map<model_name, weight_version> newest;
};

} // namespace

// Guards against a large fleet without useful engines: a fifth of 960 engines loaded at once, none
// of these loads completed in time, and each engine's turn came when its version was too old again.
SCENARIO("hundreds of engines share one weight store") {
    GIVEN("960 engines of four models, each with a version every 4 s, and a store for ten loads") {
        loading_fleet fleet(960, 4);
        fleet.play(20s);
        const std::size_t completed_before = fleet.completed_loads;
        std::map<model_name, std::size_t> least;
        for (const model_name& model : fleet.models) {
            least[model] = fleet.useful_count(model);
        }
        for (duration played{}; played < 40s; played += 500ms) {
            fleet.play(500ms);
            for (const model_name& model : fleet.models) {
                least[model] = std::min(least[model], fleet.useful_count(model));
            }
        }
        THEN("the store is used, and its loads complete") {
            CHECK(fleet.completed_loads - completed_before > 300);
        }
        // As many as of a model that has a quarter of 48 engines.
        THEN("six engines of each model always have a version that its steps take") {
            for (const auto& [model, count] : least) {
                CAPTURE(model.value());
                CHECK(count >= 6);
            }
        }
    }
    GIVEN("48 engines of four models") {
        loading_fleet fleet(48, 4);
        fleet.play(20s);
        THEN("half of each model's engines or more have a version that its steps take") {
            for (const model_name& model : fleet.models) {
                CAPTURE(model.value());
                CHECK(fleet.useful_count(model) >= 6);
            }
        }
    }
}
