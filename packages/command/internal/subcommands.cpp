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

int complain(const std::string& message, int code) {
    std::fprintf(stderr, "kingcupcart: %s\n", message.c_str());
    return code;
}

std::variant<http_answer, error> ask(const arguments& given, const std::string& method,
                                     const std::string& path, const std::string& body) {
    http::request wanted;
    wanted.method = method;
    wanted.url = "http://" + given.admin + path;
    wanted.body = body;
    wanted.content_type = body.empty() ? "" : "application/json";
    return value_or_error([&] { return call(wanted, max_wait); });
}

/// The JSON answer of an admin call, or the exit code after the problem was printed.
std::variant<json, int> ask_json(const arguments& given, const std::string& path) {
    const auto answered = ask(given, "GET", path, "");
    if (const auto* problem = std::get_if<error>(&answered)) {
        return complain(problem->message, exit_refused);
    }
    const auto& answer = std::get<http_answer>(answered);
    json body = json::parse(answer.body, nullptr, false);
    if (answer.status != status_ok || body.is_discarded()) {
        return complain(answer.body, exit_refused);
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

int run_status(const arguments& given) {
    const auto asked = ask_json(given, "/status");
    if (const int* code = std::get_if<int>(&asked)) {
        return *code;
    }
    const json& status = std::get<json>(asked);
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

int run_show(const arguments& given) {
    const auto asked = ask_json(given, "/configuration");
    if (const int* code = std::get_if<int>(&asked)) {
        return *code;
    }
    const json& accepted = std::get<json>(asked);
    std::printf("# version %s\n%s", text_of(accepted["version"]).c_str(),
                text_of(accepted["text"]).c_str());
    return exit_ok;
}

int run_check(const arguments& given) {
    if (given.words.size() != 1) {
        return complain("usage: kingcupcart check FILE", exit_usage);
    }
    const auto text = read_file(given.words[0]);
    if (const auto* problem = std::get_if<error>(&text)) {
        return complain(problem->message, exit_usage);
    }
    const auto parsed = value_or_error([&] {
        return configuration::deployment::parse(std::get<std::string>(text), given.words[0]);
    });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        return complain(problem->message, exit_usage);
    }
    std::printf("%s: configuration is right\n", given.words[0].c_str());
    return exit_ok;
}

std::string new_order_id() {
    std::random_device entropy;
    std::ostringstream text;
    text << std::hex << entropy() << entropy() << entropy() << entropy();
    return text.str();
}

int run_apply(const arguments& given) {
    if (given.words.size() != 1) {
        return complain("usage: kingcupcart apply FILE", exit_usage);
    }
    const auto text = read_file(given.words[0]);
    if (const auto* problem = std::get_if<error>(&text)) {
        return complain(problem->message, exit_usage);
    }
    json order;
    order["order_id"] = given.order_id.empty() ? new_order_id() : given.order_id;
    order["text"] = std::get<std::string>(text);
    if (given.base.empty()) {
        const auto accepted = ask_json(given, "/configuration");
        if (const int* code = std::get_if<int>(&accepted)) {
            return *code;
        }
        order["base"] = std::get<json>(accepted)["version"];
    } else {
        order["base"] = json::parse(given.base, nullptr, false);
        if (!order["base"].is_number_unsigned()) {
            return complain("--base: '" + given.base + "' is not a version", exit_usage);
        }
    }
    const auto answered = ask(given, "POST", "/configuration", order.dump());
    if (const auto* problem = std::get_if<error>(&answered)) {
        return complain(problem->message + "; send it again with --order " +
                            order["order_id"].get<std::string>(),
                        exit_refused);
    }
    const auto& answer = std::get<http_answer>(answered);
    if (answer.status != status_ok) {
        return complain(answer.body, exit_refused);
    }
    std::fputs(answer.body.c_str(), stdout);
    return exit_ok;
}

} // namespace

const std::vector<subcommand>& subcommands() {
    static const std::vector<subcommand> all{
        {"status", "status", "show an instance, its targets, links and versions", run_status},
        {"show", "show", "print the accepted configuration (ask a keeper)", run_show},
        {"check", "check FILE", "check a configuration without applying it", run_check},
        {"apply", "apply FILE", "have a configuration accepted (ask a keeper)", run_apply},
    };
    return all;
}

} // namespace kingcupcart::command
