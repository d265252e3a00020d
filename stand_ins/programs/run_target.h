#pragma once

#include "base/outcome.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <glib-unix.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <variant>

namespace kingcupcart::stand_ins {

/// How long a leaving target continues to serve, so that all entry instances are notified first.
inline constexpr std::chrono::seconds leave_period{2};

/// Runs a stand-in target until SIGTERM. It then announces that it is leaving, continues to
/// serve for `leave_period`, completes the running requests and returns the program's exit status.
template <typename Target>
int run_target(const typename Target::parameters& options) {
    task::event_loop loop;
    loop.enter();
    int exit_status = 0;
    auto opened = value_or_error([&] { return Target::open(options); });
    if (const auto* problem = std::get_if<error>(&opened)) {
        std::fprintf(stderr, "%s\n", problem->message.c_str());
        exit_status = 1;
    } else {
        auto target = std::move(std::get<std::unique_ptr<Target>>(opened));
        task::wakeup leave_timer([&] { target->begin_stop([&] { loop.quit(); }); });
        struct stop_data {
            Target& target;
            task::wakeup& leave_timer;
        } stop_target{*target, leave_timer};
        GSource* source = g_unix_signal_source_new(SIGTERM);
        g_source_set_callback(
            source,
            [](gpointer data) -> gboolean {
                auto* stop = static_cast<stop_data*>(data);
                stop->target.handle(typename Target::leave_request{});
                stop->leave_timer.arm(std::chrono::steady_clock::now() + leave_period);
                return G_SOURCE_REMOVE;
            },
            &stop_target, nullptr);
        g_source_attach(source, loop.context());
        std::printf("ready address=%s\n", target->address().to_string().c_str());
        std::fflush(stdout);
        loop.run();
        g_source_destroy(source);
        g_source_unref(source);
    }
    loop.leave();
    return exit_status;
}

} // namespace kingcupcart::stand_ins
