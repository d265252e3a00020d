#include "command/http_call.h"
#include "daemon/daemon.h"
#include "stand_ins/stand_in_engine.h"
#include "stand_ins/stand_in_service.h"
#include "task/start_task.h"
#include "telemetry/log.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <thread>

using namespace kingcupcart;

namespace {

constexpr duration max_wait = std::chrono::seconds(10);
constexpr duration try_again = std::chrono::milliseconds(50);
constexpr int status_ok = 200;

settings::process_settings demo_settings(const std::string& folder) {
    settings::process_settings made;
    made.instance = instance_id("demo");
    made.place = location{failure_domain_id("local"), region_id("local")};
    made.admin = endpoint{"127.0.0.1", 0};
    made.entry.emplace();
    made.entry->callers = endpoint{"127.0.0.1", 0};
    made.entry->address = endpoint{"127.0.0.1", 0};
    made.keeper.emplace();
    made.keeper->address = endpoint{"127.0.0.1", 0};
    made.keeper->data = folder;
    return made;
}

/// Posts until it is answered; targets need a moment to be known.
std::string post(const endpoint& callers, const std::string& path, const std::string& body) {
    http::request wanted;
    wanted.method = "POST";
    wanted.url = "http://" + callers.to_string() + path;
    wanted.content_type = "application/json";
    wanted.body = body;
    const auto limit = std::chrono::steady_clock::now() + max_wait;
    while (std::chrono::steady_clock::now() < limit) {
        const auto answered = value_or_error([&] { return command::call(wanted, max_wait); });
        const auto* answer = std::get_if<command::http_answer>(&answered);
        if (answer != nullptr && answer->status == status_ok) {
            return answer->body;
        }
        std::this_thread::sleep_for(try_again);
    }
    return "";
}

int demonstrate(const std::string& folder) {
    auto started = value_or_error([&] { return daemon::daemon::start(demo_settings(folder)); });
    if (const auto* problem = std::get_if<error>(&started)) {
        std::fprintf(stderr, "%s\n", problem->message.c_str());
        return EXIT_FAILURE;
    }
    const auto& instance = std::get<std::unique_ptr<daemon::daemon>>(started);
    const endpoint callers = *instance->callers_address();
    std::printf("instance: %s\n", instance->ready_line().c_str());
    stand_ins::engine_options engine;
    engine.target.id = "engine-1";
    engine.target.entries = {callers};
    stand_ins::service_options service;
    service.target.id = "booking-1";
    service.target.backend = "provbok";
    service.target.entries = {callers};
    task::task<stand_ins::stand_in_engine> engine_task;
    task::task<stand_ins::stand_in_service> service_task;
    const auto targets = value_or_error([&]() -> outcome<void> {
        BOOST_LEAF_CHECK(task::start_task(engine_task, engine));
        BOOST_LEAF_CHECK(task::start_task(service_task, service));
        return {};
    });
    if (const auto* problem = std::get_if<error>(&targets)) {
        std::fprintf(stderr, "%s\n", problem->message.c_str());
        return EXIT_FAILURE;
    }
    const std::string completion =
        post(callers, "/v1/completions",
             R"({"model":"stylist-lm","prompt":"a veil for a long train","max_tokens":6})");
    std::printf("completion: %s\n", completion.c_str());
    const std::string booking = post(callers, "/services/provbok/fittings", R"({"bride":7})");
    std::printf("booking: %s\n", booking.c_str());
    return completion.empty() || booking.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

/// One entry instance and keeper in one process, two stand-in targets, one caller.
int main() {
    telemetry::set_up_log(telemetry::log_format::text, telemetry::log_stream::standard_error,
                          "info", "demo");
    std::string pattern = (std::filesystem::temp_directory_path() / "kingcupcart-XXXXXX").string();
    const std::string folder = mkdtemp(pattern.data());
    const int code = demonstrate(folder);
    std::filesystem::remove_all(folder);
    return code;
}
