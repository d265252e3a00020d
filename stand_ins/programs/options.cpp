#include "stand_ins/programs/options.h"

#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace kingcupcart::stand_ins {

namespace {

constexpr int exit_usage = 2;

[[noreturn]] void exit_with_usage_error(const std::string& message) {
    std::fprintf(stderr, "%s\n", message.c_str());
    std::exit(exit_usage);
}

endpoint read_endpoint(const std::string& text) {
    const auto parsed = value_or_error([&] { return parse_endpoint(text); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        exit_with_usage_error(problem->message);
    }
    return std::get<endpoint>(parsed);
}

} // namespace

program_options read_program_options(int argc, char** argv) {
    static const std::array<option, 10> long_options{
        {{"id", required_argument, nullptr, 'i'},
         {"backend", required_argument, nullptr, 'b'},
         {"domain", required_argument, nullptr, 'd'},
         {"region", required_argument, nullptr, 'r'},
         {"slots", required_argument, nullptr, 's'},
         {"entry", required_argument, nullptr, 'e'},
         {"first-us", required_argument, nullptr, 'f'},
         {"interval-us", required_argument, nullptr, 't'},
         {"weights", required_argument, nullptr, 'w'},
         {nullptr, 0, nullptr, 0}}};
    program_options parsed_options;
    while (true) {
        const int option_character = getopt_long(argc, argv, "", long_options.data(), nullptr);
        switch (option_character) {
        case -1:
            return parsed_options;
        case 'i':
            parsed_options.target.id = optarg;
            break;
        case 'b':
            parsed_options.target.backend = optarg;
            break;
        case 'd':
            parsed_options.target.domain = optarg;
            break;
        case 'r':
            parsed_options.target.region = optarg;
            break;
        case 's':
            parsed_options.target.slots = std::atoi(optarg);
            break;
        case 'e':
            parsed_options.target.entries.push_back(read_endpoint(optarg));
            break;
        case 'f':
            parsed_options.initial_delay = std::chrono::microseconds(std::atol(optarg));
            break;
        case 't':
            parsed_options.token_interval = std::chrono::microseconds(std::atol(optarg));
            break;
        case 'w':
            parsed_options.weight_version = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            exit_with_usage_error("unknown option");
        }
    }
}

} // namespace kingcupcart::stand_ins
