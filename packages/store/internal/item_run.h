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

/// One item under way at one engine: reads its stream into the item's text.
class item_run {
public:
    struct parameters {
        batch::start_run order;
        engines::target_protocol port;
        weight_version oldest_version;
        /// Whether the item's text has to name the weights that generated it.
        bool needs_versions = false;
        partial_text* text = nullptr;
    };
    /// Told of progress, and once of the end. The run may be destroyed by the next turn of the loop
    /// only.
    using listener = std::function<void(const batch::scheduler_message&)>;

    item_run(parameters arguments, listener notify);
    ~item_run();
    item_run(const item_run&) = delete;
    item_run& operator=(const item_run&) = delete;

    void start(http::client& client, const http::request& wanted);
    /// Ends the run at the engine; nothing more is told.
    void stop();
    [[nodiscard]] const batch::start_run& order() const { return this->params.order; }

private:
    void take_head(const http::answer_head& head);
    void take_data(std::string_view data);
    void end(http::call_end how, const std::string& reason);
    void fail(batch::run_failure failure, const std::string& reason);

    parameters params;
    listener notify;
    std::unique_ptr<http::client::call> call;
    completions::event_parser parser;
    std::optional<weight_version> version;
    std::optional<batch::run_failure> refusal;
    bool is_over = false;
};

} // namespace kingcupcart::store
