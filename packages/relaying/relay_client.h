#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "base/location.h"
#include "http/response_head.h"
#include "relaying/relay_result.h"
#include "wire/messages.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::telemetry {

class metric_set;

} // namespace kingcupcart::telemetry

namespace kingcupcart::relaying {

/// Passes calls on to other gateways, the relays, while this instance reaches no target. Runs on
/// the event loop of the thread that created it.
///
/// Asks a keeper for relays, opens links to a few of them when calls need them, and closes links
/// that are idle. A call is sent over one link, once: whether to send it again is the caller's
/// decision.
class relay_client {
public:
    struct parameters {
        const clock* time = nullptr;
        /// Creates the first message on each new link.
        std::function<wire::hello()> make_hello;
        location place;
        instance_id self;
        /// Sends a message to the nearest keeper that can be reached; false if there is none.
        std::function<bool(const wire::message&)> ask_keeper;
        telemetry::metric_set* metrics = nullptr;
    };

    struct call_callbacks {
        /// The call was handed to an open link; it may run from now on.
        std::function<void()> on_sent;
        std::function<void(const http::response_head&, bool is_stream)> on_head;
        std::function<void(std::string_view)> on_data;
        /// Called once, and no other callback follows. The delay is that after which a retry may
        /// succeed; zero if unknown.
        std::function<void(relay_result, const std::string& reason, duration retry_after)>
            on_complete;
    };

    /// A call in progress. The destructor cancels it at the relay and calls none of the callbacks;
    /// callable from within them.
    class call {
    public:
        ~call();
        call(const call&) = delete;
        call& operator=(const call&) = delete;

        /// While the call is paused, the data that arrives is not acknowledged, so that the relay
        /// stops sending after a window of it. What was sent already is still delivered.
        void set_paused(bool is_paused);

    private:
        friend class relay_client;
        class state;
        explicit call(std::shared_ptr<state> new_state);
        std::shared_ptr<state> impl;
    };

    explicit relay_client(parameters arguments);
    /// No callback of a call follows.
    ~relay_client();
    relay_client(const relay_client&) = delete;
    relay_client& operator=(const relay_client&) = delete;

    /// Starts the call in the event loop's next iteration; no callback is called before. Chooses
    /// its number, and none of the relays `passed_over`.
    [[nodiscard]] std::unique_ptr<call> start(const wire::relayed_call_request& request,
                                              const std::vector<instance_id>& passed_over,
                                              call_callbacks notify);
    /// Looks up relays for the backend and opens links to some of them before a call needs them.
    void prepare(const backend_name& backend);
    void handle(const wire::relay_lookup_response& response);

    /// Calls in progress.
    [[nodiscard]] std::size_t open_count() const;
    /// The relay that the call was sent to; empty until it is sent. Valid after its end, too.
    [[nodiscard]] instance_id relay_of(const call& sent) const;

private:
    class shared_state;
    std::shared_ptr<shared_state> impl;
};

} // namespace kingcupcart::relaying
