#include "command/http_call.h"

#include "http/client.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <optional>

namespace kingcupcart::command {

outcome<http_answer> call(const http::request& wanted, duration max_wait) {
    http_answer answer;
    std::optional<http::call_end> end;
    std::string problem = "no answer in time";
    task::event_loop loop;
    loop.enter();
    {
        http::client client;
        task::wakeup limit([&] { loop.quit(); });
        limit.arm(std::chrono::steady_clock::now() + max_wait);
        const auto running = client.start(
            wanted, {[] {}, [&](const http::answer_head& head) { answer.status = head.status; },
                     [&](std::string_view data) { answer.body += data; },
                     [&](http::call_end how, const std::string& reason) {
                         end = how;
                         problem = reason;
                         loop.quit();
                     }});
        if (!end) {
            loop.run();
        }
    }
    loop.leave();
    if (end != http::call_end::complete) {
        return fail(error_code::unavailable, wanted.url + ": " + problem);
    }
    return answer;
}

} // namespace kingcupcart::command
