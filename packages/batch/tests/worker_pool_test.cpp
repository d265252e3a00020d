#include "batch/worker_pool.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::batch;

namespace {

location place(const std::string& region, const std::string& domain) {
    return {failure_domain_id(region + domain), region_id(region)};
}

} // namespace

SCENARIO("a wave of runs is spread over the stores") {
    GIVEN("a leader that carries out ten runs itself, and three other stores") {
        worker_pool pool(10);
        pool.add(instance_id("near"), place("north", "a"));
        pool.add(instance_id("region"), place("north", "b"));
        pool.add(instance_id("far"), place("south", "a"));
        std::uint64_t last_run = 0;
        std::map<std::string, std::vector<run_id>> runs;
        const auto start = [&](std::size_t count) {
            for (std::size_t i = 0; i < count; ++i) {
                const run_id run(++last_run);
                const auto worker = pool.choose(place("north", "a"));
                pool.start(run, worker);
                runs[worker ? worker->value() : "leader"].push_back(run);
            }
        };
        WHEN("few runs start") {
            start(10);
            THEN("the leader carries out all of them") {
                CHECK(runs["leader"].size() == 10);
            }
        }
        WHEN("hundreds of runs start") {
            start(10 + 300);
            THEN("each store gets its share, those near the engine a little more") {
                CHECK(runs["leader"].size() == 10);
                CHECK(runs["near"].size() > runs["region"].size());
                CHECK(runs["region"].size() > runs["far"].size());
                CHECK(runs["far"].size() > 80);
            }
            AND_WHEN("a store is lost") {
                const auto lost = pool.remove(instance_id("near"));
                THEN("its runs are returned, and it gets no further ones") {
                    CHECK(lost.size() == runs["near"].size());
                    runs.clear();
                    start(100);
                    CHECK(runs["near"].empty());
                }
            }
            AND_WHEN("runs end") {
                for (const run_id run : runs["leader"]) {
                    pool.end(run);
                    pool.end(run);
                }
                runs.clear();
                start(10);
                THEN("the leader takes as many again") {
                    CHECK(runs["leader"].size() == 10);
                }
            }
        }
        WHEN("all other stores are lost") {
            pool.remove(instance_id("near"));
            pool.remove(instance_id("region"));
            pool.remove(instance_id("far"));
            start(50);
            THEN("the leader carries out everything") {
                CHECK(runs["leader"].size() == 50);
            }
        }
    }
}
