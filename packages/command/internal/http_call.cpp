#include "command/http_call.h"

#include "base/system_clock.h"
#include "http/client.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <optional>

namespace kingcupcart::command {

outcome<http_response> call(const http::request& request, duration max_wait) {
    http_response response;
    std::optional<http::call_result> result;
    std::string failure_reason = "timed out";
    task::event_loop loop;
    loop.enter();
    {
        const system_clock time;
        http::client client(time);
        task::wakeup timeout([&] { loop.quit(); });
        timeout.arm(std::chrono::steady_clock::now() + max_wait);
        const auto running = client.start(
            request,
            {[] {}, [&](const http::response_head& head) { response.status = head.status; },
             [&](std::string_view data) { response.body += data; },
             [&](http::call_result completion, const std::string& reason) {
                 result = completion;
                 failure_reason = reason;
                 loop.quit();
             }});
        if (!result) {
            loop.run();
        }
    }
    loop.leave();
    if (result != http::call_result::complete) {
        return fail(error_code::unavailable, request.url + ": " + failure_reason);
    }
    return response;
}

} // namespace kingcupcart::command
