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
    std::fputs("usage: kingcupcart COMMAND [OPTIONS] [ARGUMENTS]\n\ncommands:\n", stream);
    for (const subcommand& command : subcommands()) {
        std::fprintf(stream, "  %-28s %s\n", command.usage, command.summary);
    }
    std::fputs("\noptions:\n"
               "  -a, --admin ADDRESS:PORT   admin address of an instance; default: the variable\n"
               "                             KINGCUPCART_ADMIN, or else 127.0.0.1:7002\n"
               "  -o, --order ID             identifier of a change; reuse it to retry the change\n"
               "  -b, --base VERSION         version that a change is based on; default: the\n"
               "                             accepted version\n"
               "  -h, --help                 print this help and exit\n"
               "  -V, --version              print the version and exit\n"
               "\nExit codes: 0 success; 1 request rejected, or instance can't be reached; 2 "
               "invalid usage\n"
               "or input.\n",
               stream);
}

} // namespace

int run_command_line(int argc, char** argv, const char* version) {
    static const std::array<option, 6> long_options{{{"admin", required_argument, nullptr, 'a'},
                                                     {"order", required_argument, nullptr, 'o'},
                                                     {"base", required_argument, nullptr, 'b'},
                                                     {"help", no_argument, nullptr, 'h'},
                                                     {"version", no_argument, nullptr, 'V'},
                                                     {nullptr, 0, nullptr, 0}}};
    const char* admin_from_environment = std::getenv("KINGCUPCART_ADMIN");
    subcommand_arguments arguments;
    arguments.admin = admin_from_environment == nullptr ? default_admin : admin_from_environment;
    for (int option_character = 0; option_character != -1;) {
        option_character = getopt_long(argc, argv, "a:o:b:hV", long_options.data(), nullptr);
        switch (option_character) {
        case -1:
            break;
        case 'a':
            arguments.admin = optarg;
            break;
        case 'o':
            arguments.order_id = optarg;
            break;
        case 'b':
            arguments.base = optarg;
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
    if (optind >= argc) {
        print_help(stderr);
        return exit_usage;
    }
    const std::string name = argv[optind];
    arguments.operands.assign(argv + optind + 1, argv + argc);
    const auto& known_subcommands = subcommands();
    const auto found = std::find_if(known_subcommands.begin(), known_subcommands.end(),
                                    [&](const auto& command) { return name == command.name; });
    if (found == known_subcommands.end()) {
        std::fprintf(stderr, "kingcupcart: unknown command '%s'; see kingcupcart --help\n",
                     name.c_str());
        return exit_usage;
    }
    return found->run(arguments);
}

} // namespace kingcupcart::command
