#include "command/http_call.h"
#include "command/internal/subcommand.h"
#include "configuration/deployment.h"
#include "settings/ini_document.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>
#include <variant>

namespace kingcupcart::command {

namespace {

using nlohmann::json;

constexpr duration max_wait = std::chrono::seconds(15);
constexpr int status_ok = 200;

int print_error(const std::string& message, int code) {
    std::fprintf(stderr, "kingcupcart: %s\n", message.c_str());
    return code;
}

std::variant<http_response, error> send_request(const subcommand_arguments& arguments,
                                                const std::string& method, const std::string& path,
                                                const std::string& body) {
    http::request request;
    request.method = method;
    request.url = "http://" + arguments.admin + path;
    request.body = body;
    request.content_type = body.empty() ? "" : "application/json";
    return value_or_error([&] { return call(request, max_wait); });
}

/// The JSON body of an admin response, or the exit code once the error has been printed.
std::variant<json, int> get_json(const subcommand_arguments& arguments, const std::string& path) {
    const auto result = send_request(arguments, "GET", path, "");
    if (const auto* problem = std::get_if<error>(&result)) {
        return print_error(problem->message, exit_failed);
    }
    const auto& response = std::get<http_response>(result);
    json body = json::parse(response.body, nullptr, false);
    if (response.status != status_ok || body.is_discarded()) {
        return print_error(response.body, exit_failed);
    }
    return body;
}

std::variant<std::string, error> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{error_code::not_found, path + ": cannot be opened"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string text_of(const json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
}

int run_status(const subcommand_arguments& arguments) {
    const auto response = get_json(arguments, "/status");
    if (const int* code = std::get_if<int>(&response)) {
        return *code;
    }
    const json& status = std::get<json>(response);
    if (status.contains("entry")) {
        const json& entry = status["entry"];
        std::printf(
            "instance %s  domain %s  region %s  configuration %s  open %s  queued %s%s\n",
            text_of(entry["instance"]).c_str(), text_of(entry["failure_domain"]).c_str(),
            text_of(entry["region"]).c_str(), text_of(entry["configuration_version"]).c_str(),
            text_of(entry["open_requests"]).c_str(), text_of(entry["queued_requests"]).c_str(),
            entry["stopping"].get<bool>() ? "  stopping" : "");
        for (const json& target : entry["targets"]) {
            std::printf("  target %-20s %-8s %-16s %-21s %-12s slots %-4s version %-4s here %s%s\n",
                        text_of(target["id"]).c_str(), text_of(target["kind"]).c_str(),
                        text_of(target["backend"]).c_str(), text_of(target["address"]).c_str(),
                        text_of(target["failure_domain"]).c_str(), text_of(target["slots"]).c_str(),
                        text_of(target["weight_version"]).c_str(),
                        text_of(target["running_here"]).c_str(),
                        target["leaving"].get<bool>() ? "  leaving" : "");
        }
    }
    if (status.contains("peers")) {
        for (const json& peer : status["peers"]) {
            std::printf("  link   %-20s %-8s %-21s %s\n", text_of(peer["instance"]).c_str(),
                        text_of(peer["role"]).c_str(), text_of(peer["address"]).c_str(),
                        peer["open"].get<bool>() ? "open" : "down");
        }
    }
    if (status.contains("keeper")) {
        const json& keeper = status["keeper"];
        std::printf("keeper %s  configuration %s\n", text_of(keeper["instance"]).c_str(),
                    text_of(keeper["configuration_version"]).c_str());
        for (const json& instance : keeper["instances"]) {
            std::printf(
                "  instance %-20s domain %-12s in force %s\n", text_of(instance["id"]).c_str(),
                text_of(instance["failure_domain"]).c_str(), text_of(instance["in_force"]).c_str());
        }
    }
    return exit_ok;
}

int run_show(const subcommand_arguments& arguments) {
    const auto response = get_json(arguments, "/configuration");
    if (const int* code = std::get_if<int>(&response)) {
        return *code;
    }
    const json& accepted = std::get<json>(response);
    std::printf("# version %s\n%s", text_of(accepted["version"]).c_str(),
                text_of(accepted["text"]).c_str());
    return exit_ok;
}

int run_check(const subcommand_arguments& arguments) {
    if (arguments.operands.size() != 1) {
        return print_error("usage: kingcupcart check FILE", exit_usage);
    }
    const auto text = read_file(arguments.operands[0]);
    if (const auto* problem = std::get_if<error>(&text)) {
        return print_error(problem->message, exit_usage);
    }
    const auto parsed = value_or_error([&] {
        return configuration::deployment::parse(std::get<std::string>(text), arguments.operands[0]);
    });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        return print_error(problem->message, exit_usage);
    }
    std::printf("%s: configuration is valid\n", arguments.operands[0].c_str());
    return exit_ok;
}

std::string new_order_id() {
    std::random_device entropy;
    std::ostringstream text;
    text << std::hex << entropy() << entropy() << entropy() << entropy();
    return text.str();
}

int run_apply(const subcommand_arguments& arguments) {
    if (arguments.operands.size() != 1) {
        return print_error("usage: kingcupcart apply FILE", exit_usage);
    }
    const auto text = read_file(arguments.operands[0]);
    if (const auto* problem = std::get_if<error>(&text)) {
        return print_error(problem->message, exit_usage);
    }
    json order;
    order["order_id"] = arguments.order_id.empty() ? new_order_id() : arguments.order_id;
    order["text"] = std::get<std::string>(text);
    if (arguments.base.empty()) {
        const auto accepted = get_json(arguments, "/configuration");
        if (const int* code = std::get_if<int>(&accepted)) {
            return *code;
        }
        order["base"] = std::get<json>(accepted)["version"];
    } else {
        order["base"] = json::parse(arguments.base, nullptr, false);
        if (!order["base"].is_number_unsigned()) {
            return print_error("--base: '" + arguments.base + "' is not a version number",
                               exit_usage);
        }
    }
    const auto result = send_request(arguments, "POST", "/configuration", order.dump());
    if (const auto* problem = std::get_if<error>(&result)) {
        return print_error(problem->message + "; retry with --order " +
                               order["order_id"].get<std::string>(),
                           exit_failed);
    }
    const auto& response = std::get<http_response>(result);
    if (response.status != status_ok) {
        return print_error(response.body, exit_failed);
    }
    std::fputs(response.body.c_str(), stdout);
    return exit_ok;
}

} // namespace

const std::vector<subcommand>& subcommands() {
    static const std::vector<subcommand> known_subcommands{
        {"status", "status", "show the state of an instance, its targets, links and versions",
         run_status},
        {"show", "show", "print the accepted configuration (from a keeper)", run_show},
        {"check", "check FILE", "validate a configuration file without applying it", run_check},
        {"apply", "apply FILE", "submit a configuration file (to a keeper)", run_apply},
    };
    return known_subcommands;
}

} // namespace kingcupcart::command
