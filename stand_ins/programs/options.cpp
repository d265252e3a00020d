#include "stand_ins/programs/options.h"

#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace kingcupcart::stand_ins {

namespace {

constexpr int exit_usage = 2;

[[noreturn]] void refuse(const std::string& message) {
    std::fprintf(stderr, "%s\n", message.c_str());
    std::exit(exit_usage);
}

endpoint read_endpoint(const std::string& text) {
    const auto parsed = value_or_error([&] { return parse_endpoint(text); });
    if (const auto* problem = std::get_if<error>(&parsed)) {
        refuse(problem->message);
    }
    return std::get<endpoint>(parsed);
}

} // namespace

program_options read_program_options(int count, char** words) {
    static const std::array<option, 10> known{{{"id", required_argument, nullptr, 'i'},
                                               {"backend", required_argument, nullptr, 'b'},
                                               {"domain", required_argument, nullptr, 'd'},
                                               {"region", required_argument, nullptr, 'r'},
                                               {"slots", required_argument, nullptr, 's'},
                                               {"entry", required_argument, nullptr, 'e'},
                                               {"first-us", required_argument, nullptr, 'f'},
                                               {"interval-us", required_argument, nullptr, 't'},
                                               {"weights", required_argument, nullptr, 'w'},
                                               {nullptr, 0, nullptr, 0}}};
    program_options read;
    while (true) {
        const int letter = getopt_long(count, words, "", known.data(), nullptr);
        switch (letter) {
        case -1:
            return read;
        case 'i':
            read.target.id = optarg;
            break;
        case 'b':
            read.target.backend = optarg;
            break;
        case 'd':
            read.target.domain = optarg;
            break;
        case 'r':
            read.target.region = optarg;
            break;
        case 's':
            read.target.slots = std::atoi(optarg);
            break;
        case 'e':
            read.target.entries.push_back(read_endpoint(optarg));
            break;
        case 'f':
            read.first = std::chrono::microseconds(std::atol(optarg));
            break;
        case 't':
            read.interval = std::chrono::microseconds(std::atol(optarg));
            break;
        case 'w':
            read.version = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            refuse("unknown option");
        }
    }
}

} // namespace kingcupcart::stand_ins
