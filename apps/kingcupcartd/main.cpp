#include "daemon/daemon.h"
#include "daemon/settings_watch.h"
#include "platform/platform.h"
#include "settings/process_settings.h"
#include "task/event_loop.h"
#include "task/wakeup.h"
#include "telemetry/log.h"

#include <getopt.h>
#include <glib-unix.h>
#include <spdlog/spdlog.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <variant>

using namespace kingcupcart;

namespace {

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

constexpr const char* help = R"(usage: kingcupcartd --settings FILE [--check | --found]

Runs one instance of kingcupcart with the roles that its settings name.

  -s, --settings FILE   settings in INI; see docs/OPERATORS.md
  -c, --check           check the settings and exit
  -f, --found           begin a new deployment: once, on one of its keepers, with an empty data folder
  -h, --help            print this and exit
  -V, --version         print the version and exit

When it serves, it prints one line on standard output: ready, and its addresses. Logs go to standard
error. SIGTERM and SIGINT begin a planned stop: readiness goes, no new work is taken, what runs is
finished.

Exit codes: 0 stopped as planned, or the settings are right; 1 could not start, or work was cut at
the stop limit; 2 wrong usage or settings.
)";

struct options {
    std::string settings;
    bool is_check = false;
    bool may_bootstrap = false;
};

/// The options, or the exit code that they ask for.
std::variant<options, int> read_options(int count, char** words) {
    static const std::array<option, 6> known{{{"settings", required_argument, nullptr, 's'},
                                              {"check", no_argument, nullptr, 'c'},
                                              {"found", no_argument, nullptr, 'f'},
                                              {"help", no_argument, nullptr, 'h'},
                                              {"version", no_argument, nullptr, 'V'},
                                              {nullptr, 0, nullptr, 0}}};
    options read;
    while (true) {
        const int letter = getopt_long(count, words, "s:cfhV", known.data(), nullptr);
        switch (letter) {
        case -1:
            if (optind < count || read.settings.empty()) {
                std::fputs(help, stderr);
                return exit_usage;
            }
            return read;
        case 's':
            read.settings = optarg;
            break;
        case 'c':
            read.is_check = true;
            break;
        case 'f':
            read.may_bootstrap = true;
            break;
        case 'h':
            std::fputs(help, stdout);
            return exit_ok;
        case 'V':
            std::puts("kingcupcartd " KINGCUPCART_VERSION);
            return exit_ok;
        default:
            std::fputs(help, stderr);
            return exit_usage;
        }
    }
}

/// The stop of the process: signals begin it, the end of the work or the stop limit ends it.
class stop_sequence {
public:
    stop_sequence(daemon::daemon& instance, duration grace, duration limit, task::event_loop& loop)
        : instance(instance),
          grace(grace),
          limit(limit),
          loop(loop),
          grace_over([this] { this->drain(); }),
          limit_reached([this] { this->give_up(); }) {}

    void watch(int signal, GMainContext* context) {
        GSource* source = g_unix_signal_source_new(signal);
        g_source_set_callback(source, &stop_sequence::signalled, this, nullptr);
        g_source_attach(source, context);
        g_source_unref(source);
    }

    [[nodiscard]] int exit_code() const { return this->code; }

private:
    static gboolean signalled(gpointer data) {
        auto* self = static_cast<stop_sequence*>(data);
        if (!self->has_begun) {
            self->has_begun = true;
            spdlog::info("planned stop begins");
            self->instance.announce_stop();
            self->grace_over.arm(std::chrono::steady_clock::now() + self->grace);
        }
        return G_SOURCE_CONTINUE;
    }

    void drain() {
        this->limit_reached.arm(std::chrono::steady_clock::now() + this->limit);
        this->instance.begin_stop([this] { this->loop.quit(); });
    }

    void give_up() {
        spdlog::error("stop limit reached: running work is cut");
        this->code = exit_failed;
        this->loop.quit();
    }

    daemon::daemon& instance;
    duration grace;
    duration limit;
    task::event_loop& loop;
    task::wakeup grace_over;
    task::wakeup limit_reached;
    bool has_begun = false;
    int code = exit_ok;
};

/// SIGHUP has the settings read at once.
void watch_reload(daemon::settings_watch& watch, GMainContext* context) {
    GSource* source = g_unix_signal_source_new(SIGHUP);
    const auto reloaded = [](gpointer data) -> gboolean {
        static_cast<daemon::settings_watch*>(data)->reload();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, reloaded, &watch, nullptr);
    g_source_attach(source, context);
    g_source_unref(source);
}

/// Ends the process where nobody reads its log any more.
int end_with(int code) {
    if (!telemetry::close_log()) {
        std::_Exit(code);
    }
    return code;
}

int run(const settings::process_settings& settings, const std::string& path) {
    telemetry::set_up_log(settings.format, settings.log_stream, settings.log_level,
                          settings.instance.value());
    auto started =
        value_or_error([&] { return daemon::daemon::start(settings, platform::make_ports()); });
    if (const auto* problem = std::get_if<error>(&started)) {
        spdlog::critical("cannot start: {}", problem->message);
        return end_with(exit_failed);
    }
    const auto& instance = std::get<std::unique_ptr<daemon::daemon>>(started);
    task::event_loop loop;
    loop.enter();
    int code = exit_ok;
    {
        stop_sequence stop(*instance, settings.stop_grace, settings.stop_limit, loop);
        stop.watch(SIGTERM, loop.context());
        stop.watch(SIGINT, loop.context());
        daemon::settings_watch watch(
            path, [&](const settings::process_settings& changed) { instance->apply(changed); });
        watch_reload(watch, loop.context());
        std::puts(instance->ready_line().c_str());
        std::fflush(stdout);
        spdlog::info("{}", instance->ready_line());
        loop.run();
        code = stop.exit_code();
    }
    loop.leave();
    spdlog::info("stopped");
    return end_with(code);
}

} // namespace

int main(int count, char** words) {
    const auto read = read_options(count, words);
    if (const int* code = std::get_if<int>(&read)) {
        return *code;
    }
    const auto& wanted = std::get<options>(read);
    const auto loaded =
        value_or_error([&] { return settings::process_settings::load(wanted.settings); });
    if (const auto* problem = std::get_if<error>(&loaded)) {
        std::fprintf(stderr, "kingcupcartd: %s\n", problem->message.c_str());
        return exit_usage;
    }
    if (wanted.is_check) {
        std::printf("%s: settings are right\n", wanted.settings.c_str());
        return exit_ok;
    }
    auto settings = std::get<settings::process_settings>(loaded);
    if (wanted.may_bootstrap) {
        if (!settings.keeper) {
            std::fputs("kingcupcartd: --found: this instance has no keeper\n", stderr);
            return exit_usage;
        }
        settings.keeper->may_bootstrap = true;
    }
    return run(settings, wanted.settings);
}
