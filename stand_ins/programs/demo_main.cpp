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

constexpr duration request_timeout = std::chrono::seconds(10);
constexpr duration retry_interval = std::chrono::milliseconds(50);
constexpr int status_ok = 200;

settings::process_settings demo_settings(const std::string& folder) {
    settings::process_settings created;
    created.instance = instance_id("demo");
    created.place = location{failure_domain_id("local"), region_id("local")};
    created.admin = endpoint{"127.0.0.1", 0};
    created.entry.emplace();
    created.entry->callers = endpoint{"127.0.0.1", 0};
    created.entry->address = endpoint{"127.0.0.1", 0};
    created.keeper.emplace();
    created.keeper->address = endpoint{"127.0.0.1", 0};
    created.keeper->data = folder;
    return created;
}

/// Repeats the request until its response has status 200, since the instance has to receive the
/// targets' announcements first. Returns the response's body, or nothing after the timeout.
std::string post(const endpoint& callers, const std::string& path, const std::string& body) {
    http::request post_request;
    post_request.method = "POST";
    post_request.url = "http://" + callers.to_string() + path;
    post_request.content_type = "application/json";
    post_request.body = body;
    const auto deadline = std::chrono::steady_clock::now() + request_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        const auto result =
            value_or_error([&] { return command::call(post_request, request_timeout); });
        const auto* response = std::get_if<command::http_response>(&result);
        if (response != nullptr && response->status == status_ok) {
            return response->body;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    return "";
}

int demonstrate(const std::string& folder) {
    auto started_daemon =
        value_or_error([&] { return daemon::daemon::start(demo_settings(folder)); });
    if (const auto* problem = std::get_if<error>(&started_daemon)) {
        std::fprintf(stderr, "%s\n", problem->message.c_str());
        return EXIT_FAILURE;
    }
    const auto& instance = std::get<std::unique_ptr<daemon::daemon>>(started_daemon);
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
    const auto targets_started = value_or_error([&]() -> outcome<void> {
        BOOST_LEAF_CHECK(task::start_task(engine_task, engine));
        BOOST_LEAF_CHECK(task::start_task(service_task, service));
        return {};
    });
    if (const auto* problem = std::get_if<error>(&targets_started)) {
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

/// Starts an entry instance that is also a keeper, and two stand-in targets, in one process, and
/// sends each target one request.
int main() {
    telemetry::set_up_log(telemetry::log_format::text, telemetry::log_stream::standard_error,
                          "info", "demo");
    std::string pattern = (std::filesystem::temp_directory_path() / "kingcupcart-XXXXXX").string();
    const std::string folder = mkdtemp(pattern.data());
    const int exit_status = demonstrate(folder);
    std::filesystem::remove_all(folder);
    return exit_status;
}
