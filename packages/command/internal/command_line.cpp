#include "command/command_line.h"

#include "command/internal/subcommand.h"

#include <getopt.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace kingcupcart::command {

namespace {

constexpr const char* default_admin = "127.0.0.1:7002";

void print_help(std::FILE* stream) {
    std::fputs("usage: kingcupcart COMMAND [OPTIONS] [WORDS]\n\ncommands:\n", stream);
    for (const subcommand& one : subcommands()) {
        std::fprintf(stream, "  %-28s %s\n", one.usage, one.summary);
    }
    std::fputs(
        "\noptions:\n"
        "  -a, --admin ADDRESS:PORT   admin address of an instance; default is the variable\n"
        "                             KINGCUPCART_ADMIN, else 127.0.0.1:7002\n"
        "  -o, --order ID             name of a change, the same for each resend of it\n"
        "  -b, --base VERSION         version that a change builds on; default: accepted one\n"
        "  -h, --help                 print this and exit\n"
        "  -V, --version              print the version and exit\n"
        "\nExit codes: 0 done; 1 refused, or the instance can't be reached; 2 wrong usage or\n"
        "input.\n",
        stream);
}

} // namespace

int run_command_line(int count, char** words, const char* version) {
    static const std::array<option, 6> known{{{"admin", required_argument, nullptr, 'a'},
                                              {"order", required_argument, nullptr, 'o'},
                                              {"base", required_argument, nullptr, 'b'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {"version", no_argument, nullptr, 'V'},
                                              {nullptr, 0, nullptr, 0}}};
    const char* from_environment = std::getenv("KINGCUPCART_ADMIN");
    arguments given;
    given.admin = from_environment == nullptr ? default_admin : from_environment;
    for (int letter = 0; letter != -1;) {
        letter = getopt_long(count, words, "a:o:b:hV", known.data(), nullptr);
        switch (letter) {
        case -1:
            break;
        case 'a':
            given.admin = optarg;
            break;
        case 'o':
            given.order_id = optarg;
            break;
        case 'b':
            given.base = optarg;
            break;
        case 'h':
            print_help(stdout);
            return exit_ok;
        case 'V':
            std::printf("kingcupcart %s\n", version);
            return exit_ok;
        default:
            print_help(stderr);
            return exit_usage;
        }
    }
    if (optind >= count) {
        print_help(stderr);
        return exit_usage;
    }
    const std::string name = words[optind];
    given.words.assign(words + optind + 1, words + count);
    const auto& all = subcommands();
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& one) { return name == one.name; });
    if (found == all.end()) {
        std::fprintf(stderr, "kingcupcart: no command '%s'; see kingcupcart --help\n",
                     name.c_str());
        return exit_usage;
    }
    return found->run(given);
}

} // namespace kingcupcart::command
