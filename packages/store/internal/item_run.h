#pragma once

#include "base/ids.h"
#include "batch/scheduler_actions.h"
#include "batch/scheduler_messages.h"
#include "completions/event_parser.h"
#include "engines/target_protocol.h"
#include "http/client.h"
#include "store/internal/partial_text.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcupcart::store {

/// One run of an item on an engine: sends the request and appends the engine's stream to the item's
/// partial text.
class item_run {
public:
    struct parameters {
        batch::start_run action;
        engines::target_protocol protocol;
        weight_version oldest_version;
        /// Whether the engine has to state the weight version that generated the text.
        bool needs_versions = false;
        partial_text* text = nullptr;
        /// Called with the head of the response, which may say something of the engine.
        std::function<void(const http::response_head&)> head_received;
    };
    /// Called with each `run_progressed`, and once with `run_completed` or `run_failed`. The
    /// callback must not destroy the run, which is in use until the event loop's next iteration.
    using callback = std::function<void(const batch::scheduler_message&)>;

    item_run(parameters arguments, callback notify);
    ~item_run();
    item_run(const item_run&) = delete;
    item_run& operator=(const item_run&) = delete;

    void start(http::client& client, const http::request& request);
    /// Cancels the run at the engine; the callback is not called again.
    void stop();
    [[nodiscard]] const batch::start_run& action() const { return this->params.action; }

private:
    void on_head(const http::response_head& head);
    void on_data(std::string_view data);
    void on_end(http::call_result completion, const std::string& reason);
    void fail(batch::run_failure failure, const std::string& reason);

    parameters params;
    callback notify;
    std::unique_ptr<http::client::call> call;
    completions::event_parser parser;
    std::optional<weight_version> version;
    std::optional<batch::run_failure> refusal;
    bool is_over = false;
};

} // namespace kingcupcart::store
