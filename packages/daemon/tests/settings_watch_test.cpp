#include "daemon/settings_watch.h"

#include "task/event_loop.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

using namespace kingcupcart;

namespace {

/// A settings file of its own, a loop, and what the watch told.
class fixture {
public:
    fixture() {
        std::string pattern = "/tmp/kingcupcart-watch-XXXXXX";
        const int made = mkstemp(pattern.data());
        REQUIRE(made >= 0);
        std::fclose(fdopen(made, "w"));
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
    /// Lets the loop run for a little longer than the watch takes to look.
    void pass() const {
        const auto end =
            std::chrono::steady_clock::now() + daemon::settings_watch::interval * 3 / 2;
        while (std::chrono::steady_clock::now() < end) {
            g_main_context_iteration(this->loop.context(), FALSE);
            g_usleep(1000);
        }
    }

    std::string path;
    task::event_loop loop;
    std::vector<std::string> told;
};

} // namespace

SCENARIO("settings that change are taken over while the process runs") {
    fixture test;
    test.write("127.0.0.1:7001");
    daemon::settings_watch watch(test.path, [&](const settings::process_settings& changed) {
        test.told.push_back(changed.gateway->fleet.seeds.at(0).to_string());
    });
    GIVEN("a file that stays as it is") {
        test.pass();
        THEN("nothing is told") {
            CHECK(test.told.empty());
        }
        AND_WHEN("a reload is asked for") {
            watch.reload();
            THEN("it is read") {
                CHECK(test.told == std::vector<std::string>{"127.0.0.1:7001"});
            }
        }
    }
    GIVEN("a file that names another keeper") {
        test.write("127.0.0.1:7002");
        test.pass();
        THEN("the change is noticed without a signal, once") {
            CHECK(test.told == std::vector<std::string>{"127.0.0.1:7002"});
        }
    }
    GIVEN("a file that is wrong") {
        test.write("nowhere");
        test.pass();
        THEN("the settings stay, and the next right file is taken") {
            CHECK(test.told.empty());
            test.write("127.0.0.1:7003");
            test.pass();
            CHECK(test.told == std::vector<std::string>{"127.0.0.1:7003"});
        }
    }
    GIVEN("a file that is gone") {
        std::remove(test.path.c_str());
        test.pass();
        watch.reload();
        THEN("the settings stay") {
            CHECK(test.told.empty());
        }
    }
}
