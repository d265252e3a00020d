#include "daemon/settings_watcher.h"

#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

using namespace kingcupcart;

namespace {

/// A temporary settings file, an event loop, and the seeds that the watcher has reported.
class fixture {
public:
    fixture() {
        std::string pattern = "/tmp/kingcupcart-watch-XXXXXX";
        const int descriptor = mkstemp(pattern.data());
        REQUIRE(descriptor >= 0);
        std::fclose(fdopen(descriptor, "w"));
        this->path = pattern;
        this->loop.enter();
    }
    ~fixture() {
        this->loop.leave();
        std::remove(this->path.c_str());
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    void write(const std::string& seed) const {
        std::ofstream file(this->path);
        file << "[instance]\nid = g\nfailure-domain = d\nregion = r\nadmin = 127.0.0.1:0\n"
                "roles = gateway\n[gateway]\ncallers = 127.0.0.1:0\nready = 127.0.0.1:0\n"
                "link-port = 7000\nseeds = "
             << seed << "\n";
    }
    /// Runs the event loop for one and a half polling intervals of the watcher.
    void run_loop() const {
        const auto end =
            std::chrono::steady_clock::now() + daemon::settings_watcher::poll_interval * 3 / 2;
        while (std::chrono::steady_clock::now() < end) {
            g_main_context_iteration(this->loop.context(), FALSE);
            g_usleep(1000);
        }
    }

    std::string path;
    task::event_loop loop;
    std::vector<std::string> received_seeds;
};

} // namespace

SCENARIO("changed settings are applied while the process runs") {
    fixture test;
    test.write("127.0.0.1:7001");
    daemon::settings_watcher watcher(test.path, [&](const settings::process_settings& changed) {
        test.received_seeds.push_back(changed.gateway->fleet.seeds.at(0).to_string());
    });
    GIVEN("a file that does not change") {
        test.run_loop();
        THEN("no settings are reported") {
            CHECK(test.received_seeds.empty());
        }
        AND_WHEN("a reload is requested") {
            watcher.reload();
            THEN("the file is read") {
                CHECK(test.received_seeds == std::vector<std::string>{"127.0.0.1:7001"});
            }
        }
    }
    GIVEN("a file with another seed") {
        test.write("127.0.0.1:7002");
        test.run_loop();
        THEN("the change is reported once, without a signal") {
            CHECK(test.received_seeds == std::vector<std::string>{"127.0.0.1:7002"});
        }
    }
    GIVEN("an invalid file") {
        test.write("nowhere");
        test.run_loop();
        THEN("the settings stay, and the next valid file is applied") {
            CHECK(test.received_seeds.empty());
            test.write("127.0.0.1:7003");
            test.run_loop();
            CHECK(test.received_seeds == std::vector<std::string>{"127.0.0.1:7003"});
        }
    }
    GIVEN("a file that is removed") {
        std::remove(test.path.c_str());
        test.run_loop();
        watcher.reload();
        THEN("the settings stay") {
            CHECK(test.received_seeds.empty());
        }
    }
}
