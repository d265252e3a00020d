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

/// Others need a moment to hear that a target leaves.
inline constexpr std::chrono::seconds leave_time{2};

/// Runs one stand-in target until SIGTERM: it then leaves, finishes what runs and ends.
template <typename Target>
int run_target(const typename Target::parameters& options) {
    task::event_loop loop;
    loop.enter();
    int code = 0;
    auto opened = value_or_error([&] { return Target::open(options); });
    if (const auto* problem = std::get_if<error>(&opened)) {
        std::fprintf(stderr, "%s\n", problem->message.c_str());
        code = 1;
    } else {
        auto target = std::move(std::get<std::unique_ptr<Target>>(opened));
        task::wakeup leave_over([&] { target->finish([&] { loop.quit(); }); });
        struct stop_data {
            Target& target;
            task::wakeup& leave_over;
        } stop{*target, leave_over};
        GSource* source = g_unix_signal_source_new(SIGTERM);
        g_source_set_callback(
            source,
            [](gpointer data) -> gboolean {
                auto* asked = static_cast<stop_data*>(data);
                asked->target.handle(typename Target::leave_request{});
                asked->leave_over.arm(std::chrono::steady_clock::now() + leave_time);
                return G_SOURCE_REMOVE;
            },
            &stop, nullptr);
        g_source_attach(source, loop.context());
        std::printf("ready address=%s\n", target->address().to_string().c_str());
        std::fflush(stdout);
        loop.run();
        g_source_destroy(source);
        g_source_unref(source);
    }
    loop.leave();
    return code;
}

} // namespace kingcupcart::stand_ins
