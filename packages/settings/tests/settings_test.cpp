#include "settings/ini_document.h"
#include "settings/process_settings.h"

#include <doctest/doctest.h>

using namespace kingcupcart;
using namespace kingcupcart::settings;

namespace {

const std::string valid_settings = R"([instance]
id = got-a1-entry-1
failure-domain = got-a1
region = got-a
roles = entry
admin = 127.0.0.1:7002

[entry]
callers = 127.0.0.1:7000
address = 127.0.0.1:7001
keepers = 127.0.0.1:7101, 127.0.0.1:7102
target-lease = 6s
)";

std::variant<process_settings, error> read_settings(const std::string& text) {
    return value_or_error([&]() -> outcome<process_settings> {
        BOOST_LEAF_AUTO(document, ini_document::parse(text, "daemon.ini"));
        return process_settings::read(document);
    });
}

std::string replace_once(const std::string& from, const std::string& to) {
    std::string text = valid_settings;
    text.replace(text.find(from), from.size(), to);
    return text;
}

std::string message_for(const std::string& text) {
    const auto result = read_settings(text);
    REQUIRE(std::holds_alternative<error>(result));
    return std::get<error>(result).message;
}

} // namespace

SCENARIO("valid settings are read as written") {
    const auto result = read_settings(valid_settings);
    REQUIRE(std::holds_alternative<process_settings>(result));
    const auto& settings = std::get<process_settings>(result);
    CHECK(settings.instance == instance_id("got-a1-entry-1"));
    REQUIRE(settings.entry);
    CHECK(settings.entry->keepers.size() == 2);
    CHECK(settings.entry->target_lease == std::chrono::seconds(6));
    CHECK_FALSE(settings.keeper);
}

SCENARIO("invalid settings are rejected with the file, line, group, key and the allowed values") {
    GIVEN("an unknown key") {
        CHECK(message_for(replace_once("target-lease", "target-lese"))
                  .starts_with("daemon.ini:12: [entry] target-lese: unknown key; known keys: "
                               "address, body-limit"));
    }
    GIVEN("an unknown unit") {
        CHECK(message_for(replace_once("6s", "6 parsecs"))
                  .starts_with("daemon.ini:12: [entry] target-lease: '6 parsecs' is not a number "
                               "with a unit"));
    }
    GIVEN("a missing unit") {
        CHECK(message_for(replace_once("6s", "6")).find("[entry] target-lease") !=
              std::string::npos);
    }
    GIVEN("a value out of range") {
        CHECK(message_for(replace_once("6s", "6h")) ==
              "daemon.ini:12: [entry] target-lease: '6h' is not within 200ms to 5min");
    }
    GIVEN("a host name in place of an IP address") {
        CHECK(message_for(replace_once("127.0.0.1:7102", "keeper.example:7102"))
                  .starts_with("daemon.ini:11: [entry] keepers: 'keeper.example' is not an IP"));
    }
    GIVEN("a missing key") {
        CHECK(message_for(replace_once("region = got-a\n", "")) ==
              "daemon.ini:1: [instance] region: is required and must not be empty");
    }
    GIVEN("an unknown role") {
        CHECK(message_for(replace_once("roles = entry", "roles = cook")) ==
              "daemon.ini:5: [instance] roles: 'cook' is not one of entry, keeper, "
              "gateway, store");
    }
    GIVEN("an unknown group") {
        CHECK(
            message_for(valid_settings + "[entree]\n")
                .starts_with("daemon.ini:13: [entree]: unknown group; expected one of [instance]"));
    }
    GIVEN("a key that is defined twice") {
        CHECK(message_for(valid_settings + "target-lease = 7s\n") ==
              "daemon.ini:13: [entry] target-lease is defined twice, first on line 12");
    }
    GIVEN("a line that is neither a group nor a key") {
        CHECK(message_for("[instance]\nhello\n") ==
              "daemon.ini:2: 'hello' is neither [group] nor key = value");
    }
    GIVEN("a file that does not exist") {
        const auto result = value_or_error([] { return process_settings::load("/nowhere.ini"); });
        CHECK(std::get<error>(result).message == "/nowhere.ini: cannot be opened");
    }
}

SCENARIO("a planned stop fits into the time until the process is killed") {
    const auto stop_times = [](const std::string& lines) {
        const auto result = read_settings(replace_once("roles = entry", lines + "\nroles = entry"));
        REQUIRE(std::holds_alternative<process_settings>(result));
        const auto& settings = std::get<process_settings>(result);
        return std::pair(settings.stop_grace, settings.stop_limit);
    };
    using std::chrono::milliseconds;
    GIVEN("a supervisor that leaves enough time") {
        CHECK(stop_times("stop-grace = 2500ms\nstop-limit = 3s\nkill-after = 8s") ==
              std::pair<duration, duration>(milliseconds(2500), milliseconds(3000)));
    }
    GIVEN("a supervisor that leaves less") {
        CHECK(stop_times("stop-grace = 2500ms\nkill-after = 4.5s") ==
              std::pair<duration, duration>(milliseconds(1500), milliseconds(2500)));
    }
    GIVEN("no supervisor that kills") {
        CHECK(stop_times("stop-grace = 2500ms\nstop-limit = 3s") ==
              std::pair<duration, duration>(milliseconds(2500), milliseconds(3000)));
    }
    GIVEN("a time with two fractions") {
        CHECK(message_for(replace_once("6s", "6.5.1s")).find("[entry] target-lease") !=
              std::string::npos);
    }
}

SCENARIO("the memory that a process may use bounds the responses in progress") {
    const auto with_memory = [](const std::string& line) {
        return replace_once("admin = 127.0.0.1:7002\n", "admin = 127.0.0.1:7002\n" + line + "\n");
    };
    const auto budget_for = [&](const std::string& line) {
        const auto result = read_settings(with_memory(line));
        REQUIRE(std::holds_alternative<process_settings>(result));
        return std::get<process_settings>(result).responses.budget_bytes;
    };
    GIVEN("settings that name the memory") {
        THEN("the responses may take up a fifth of it") {
            CHECK(budget_for("memory = 88MB") == 17'600'000);
            CHECK(budget_for("memory = 140.5MB") == 28'100'000);
        }
    }
    GIVEN("settings that do not name it") {
        THEN("a default applies") {
            CHECK(budget_for("") == 32UL * 1024 * 1024);
        }
    }
    GIVEN("anything else") {
        for (const char* line : {"memory = 88", "memory = 88 GB", "memory = MB", "memory = 1MB"}) {
            const std::string name = std::string("Then: '") + line + "' is rejected";
            SUBCASE(name.c_str()) {
                CHECK(message_for(with_memory(line)).find("[instance] memory") !=
                      std::string::npos);
            }
        }
    }
}

SCENARIO("a gateway forwards calls of others only where its settings say so") {
    const auto with_lines = [](const std::string& lines) {
        return "[instance]\nid = g1\nfailure-domain = north-a\nregion = north\nroles = gateway\n"
               "admin = 127.0.0.1:7002\n[gateway]\ncallers = 127.0.0.1:7000\n"
               "ready = 127.0.0.1:7001\nseeds = 127.0.0.1:7100\n" +
               lines;
    };
    const auto read_gateway = [&](const std::string& lines) {
        const auto result = read_settings(with_lines(lines));
        REQUIRE(std::holds_alternative<process_settings>(result));
        return *std::get<process_settings>(result).gateway;
    };
    GIVEN("no address for links") {
        CHECK(!read_gateway("").address);
    }
    GIVEN("an address for links and a bound") {
        const auto gateway = read_gateway("address = 127.0.0.1:7003\nrelayed-calls = 40\n");
        CHECK(gateway.address == endpoint{"127.0.0.1", 7003});
        CHECK(gateway.relayed_calls == 40);
    }
    GIVEN("bounds for revoked keys") {
        CHECK_FALSE(read_gateway("").revocation.is_fail_closed);
        const auto limits = read_gateway("revoke-time = 4000ms\nfail-closed = true\n").revocation;
        CHECK(limits.revoke_time == std::chrono::seconds(4));
        CHECK(limits.is_fail_closed);
        CHECK(message_for(with_lines("revoke-time = 0s\n")).find("[gateway] revoke-time") !=
              std::string::npos);
        CHECK(message_for(with_lines("fail-closed = maybe\n")).find("[gateway] fail-closed") !=
              std::string::npos);
    }
    GIVEN("an address without a port") {
        CHECK(message_for(with_lines("address = 127.0.0.1\n")).find("[gateway] address") !=
              std::string::npos);
    }
    GIVEN("a bound that is no count") {
        CHECK(message_for(with_lines("relayed-calls = -1\n")).find("[gateway] relayed-calls") !=
              std::string::npos);
    }
}

SCENARIO("duties are carried out only where the settings name the platform's API") {
    const auto duties_of = [](const std::string& lines) {
        const auto result = read_settings(valid_settings + "[duties]\n" + lines);
        REQUIRE(std::holds_alternative<process_settings>(result));
        return std::get<process_settings>(result).duties;
    };
    GIVEN("no group, and one without an address") {
        CHECK_FALSE(std::get<process_settings>(read_settings(valid_settings)).duties);
        CHECK_FALSE(duties_of("usage-window = 2s\n"));
    }
    GIVEN("an address, one duty and a window") {
        const auto duties =
            duties_of("platform = 127.0.0.1:80\ncarry-out = usage\nusage-window = 2s\n");
        REQUIRE(duties);
        CHECK(duties->reports_usage);
        CHECK_FALSE(duties->scales_replicas);
        CHECK(duties->usage_window == std::chrono::seconds(2));
        CHECK(duties->usage_late == std::chrono::seconds(10));
        CHECK(duties->calls_per_second == 50);
    }
    GIVEN("a rate of calls as platforms write it") {
        CHECK(duties_of("platform = 127.0.0.1:80\ncalls-per-second = 50.0\n")->calls_per_second ==
              50);
        CHECK(duties_of("platform = 127.0.0.1:80\ncalls-per-second = 0.5\n")->calls_per_second ==
              0.5);
        for (const char* bad : {"0", "-1", "nan", "1e3", "50 calls"}) {
            CHECK(message_for(valid_settings + "[duties]\ncalls-per-second = " + bad + "\n")
                      .find("is not a number from 0.1 to 100000") != std::string::npos);
        }
    }
    GIVEN("a duty that does not exist") {
        CHECK(message_for(valid_settings + "[duties]\ncarry-out = usage, sweep\n")
                  .find("[duties] carry-out: 'sweep' is not one of usage, autoscale") !=
              std::string::npos);
    }
}
