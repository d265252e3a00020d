#include "daemon/allocator.h"
#include "daemon/daemon.h"
#include "daemon/settings_watcher.h"
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
/// Requests that are open at the stop limit get their final response this long before it, so that
/// it reaches their callers.
constexpr duration response_time = std::chrono::milliseconds(300);

constexpr const char* help = R"(usage: kingcupcartd --settings FILE [--check | --found]

Runs one instance of kingcupcart with the roles that its settings list.

  -s, --settings FILE   settings file in INI format; see docs/OPERATORS.md
  -c, --check           validate the settings and exit
  -f, --found           bootstrap a new deployment: once, on one keeper, with an empty data folder
  -h, --help            print this help and exit
  -V, --version         print the version and exit

Once it accepts requests, it prints one line to standard output: 'ready' and its addresses.
The log goes to standard error unless the settings say otherwise. SIGTERM and SIGINT start a
planned stop: the instance reports not ready, then accepts no new work and finishes the
running work. SIGHUP reloads the settings.

Exit codes: 0 planned stop finished, or the settings are valid; 1 could not start, or running
work was aborted at the stop limit; 2 invalid usage or settings.
)";

struct options {
    std::string settings;
    bool check_only = false;
    bool may_bootstrap = false;
};

/// The parsed options, or the exit code if the process has to exit at once.
std::variant<options, int> parse_options(int argc, char** argv) {
    static const std::array<option, 6> long_options{{{"settings", required_argument, nullptr, 's'},
                                                     {"check", no_argument, nullptr, 'c'},
                                                     {"found", no_argument, nullptr, 'f'},
                                                     {"help", no_argument, nullptr, 'h'},
                                                     {"version", no_argument, nullptr, 'V'},
                                                     {nullptr, 0, nullptr, 0}}};
    options parsed;
    while (true) {
        const int option_character =
            getopt_long(argc, argv, "s:cfhV", long_options.data(), nullptr);
        switch (option_character) {
        case -1:
            if (optind < argc || parsed.settings.empty()) {
                std::fputs(help, stderr);
                return exit_usage;
            }
            return parsed;
        case 's':
            parsed.settings = optarg;
            break;
        case 'c':
            parsed.check_only = true;
            break;
        case 'f':
            parsed.may_bootstrap = true;
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

/// The planned stop of the process. A signal starts it: the instance reports not ready, drains
/// after the grace period, and the event loop quits once it is drained or at the stop limit.
class stop_sequence {
public:
    stop_sequence(daemon::daemon& instance, duration grace, duration limit, task::event_loop& loop)
        : instance(instance),
          grace(grace),
          limit(limit),
          loop(loop),
          grace_timer([this] { this->drain(); }),
          limit_timer([this] { this->abort_at_limit(); }) {}

    void watch(int signal, GMainContext* context) {
        GSource* source = g_unix_signal_source_new(signal);
        g_source_set_callback(source, &stop_sequence::on_signal, this, nullptr);
        g_source_attach(source, context);
        g_source_unref(source);
    }

    [[nodiscard]] int exit_code() const { return this->code; }

private:
    static gboolean on_signal(gpointer data) {
        auto* sequence = static_cast<stop_sequence*>(data);
        if (!sequence->has_started) {
            sequence->has_started = true;
            spdlog::info("planned stop started");
            const time_point drain_at = std::chrono::steady_clock::now() + sequence->grace;
            sequence->instance.announce_stop(drain_at + sequence->limit - response_time);
            sequence->grace_timer.arm(drain_at);
        }
        return G_SOURCE_CONTINUE;
    }

    void drain() {
        const time_point limit_at = std::chrono::steady_clock::now() + this->limit;
        this->limit_timer.arm(limit_at);
        this->instance.begin_stop(limit_at - response_time, [this] { this->loop.quit(); });
    }

    void abort_at_limit() {
        spdlog::error("stop limit reached, aborting the running work");
        this->code = exit_failed;
        this->loop.quit();
    }

    daemon::daemon& instance;
    duration grace;
    duration limit;
    task::event_loop& loop;
    task::wakeup grace_timer;
    task::wakeup limit_timer;
    bool has_started = false;
    int code = exit_ok;
};

/// Leaves failed writes to their callers, who get an error number: by default a write beyond the
/// file size limit, or to a closed connection, ends the process.
void ignore_write_signals() {
    std::signal(SIGXFSZ, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
}

/// Reloads the settings on SIGHUP.
void reload_on_hangup(daemon::settings_watcher& watcher, GMainContext* context) {
    GSource* source = g_unix_signal_source_new(SIGHUP);
    const auto on_hangup = [](gpointer data) -> gboolean {
        static_cast<daemon::settings_watcher*>(data)->reload();
        return G_SOURCE_CONTINUE;
    };
    g_source_set_callback(source, on_hangup, &watcher, nullptr);
    g_source_attach(source, context);
    g_source_unref(source);
}

/// Closes the log and returns `code`. Exits the process at once if the log's thread is blocked
/// because nobody reads the log any more.
int close_log_for_exit(int code) {
    if (!telemetry::close_log()) {
        std::_Exit(code);
    }
    return code;
}

int run(const settings::process_settings& settings, const std::string& path) {
    telemetry::set_up_log(settings.format, settings.log_stream, settings.log_level,
                          settings.instance.value());
    daemon::limit_retained_memory();
    auto started = value_or_error(
        [&] { return daemon::daemon::start(settings, platform::make_external_protocols()); });
    if (const auto* problem = std::get_if<error>(&started)) {
        spdlog::critical("cannot start: {}", problem->message);
        return close_log_for_exit(exit_failed);
    }
    auto instance = std::get<std::unique_ptr<daemon::daemon>>(std::move(started));
    task::event_loop loop;
    loop.enter();
    int code = exit_ok;
    {
        stop_sequence stop(*instance, settings.stop_grace, settings.stop_limit, loop);
        stop.watch(SIGTERM, loop.context());
        stop.watch(SIGINT, loop.context());
        daemon::settings_watcher watcher(
            path, [&](const settings::process_settings& changed) { instance->apply(changed); });
        reload_on_hangup(watcher, loop.context());
        std::puts(instance->ready_line().c_str());
        std::fflush(stdout);
        spdlog::info("{}", instance->ready_line());
        loop.run();
        code = stop.exit_code();
    }
    loop.leave();
    // Its tasks must not log once the log is closed.
    instance.reset();
    spdlog::info("stopped");
    return close_log_for_exit(code);
}

} // namespace

int main(int argc, char** argv) {
    ignore_write_signals();
    const auto parsed = parse_options(argc, argv);
    if (const int* code = std::get_if<int>(&parsed)) {
        return *code;
    }
    const auto& command_line = std::get<options>(parsed);
    const auto loaded =
        value_or_error([&] { return settings::process_settings::load(command_line.settings); });
    if (const auto* problem = std::get_if<error>(&loaded)) {
        std::fprintf(stderr, "kingcupcartd: %s\n", problem->message.c_str());
        return exit_usage;
    }
    if (command_line.check_only) {
        std::printf("%s: settings are valid\n", command_line.settings.c_str());
        return exit_ok;
    }
    auto settings = std::get<settings::process_settings>(loaded);
    if (command_line.may_bootstrap) {
        if (!settings.keeper) {
            std::fputs("kingcupcartd: --found: this instance does not have the keeper role\n",
                       stderr);
            return exit_usage;
        }
        settings.keeper->may_bootstrap = true;
    }
    return run(settings, command_line.settings);
}
