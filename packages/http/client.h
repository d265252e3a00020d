#pragma once

#include "base/clock.h"
#include "http/answer_head.h"
#include "http/request.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kingcupcart::http {

/// How a call ended.
enum class call_end {
    /// The whole answer was received.
    complete,
    /// No connection came about; nothing was handed to a socket.
    unreachable,
    /// The connection broke, or the answer was cut short.
    broken
};

/// An HTTP client on the loop of the thread that made it.
class client {
public:
    struct callbacks {
        /// The request is about to be handed to a socket.
        std::function<void()> handed;
        std::function<void(const answer_head&)> head;
        std::function<void(std::string_view)> data;
        /// Told once; no other callback follows.
        std::function<void(call_end, const std::string& reason)> ended;
    };

    /// A call under way. Destroying it cancels the call without telling.
    class call {
    public:
        ~call();
        call(const call&) = delete;
        call& operator=(const call&) = delete;

        /// Reads what is left of the answer without telling, also after this object is gone, so
        /// that the connection can be used again. A long rest is cut off.
        void drain();

    private:
        friend class client;
        class state;
        explicit call(std::shared_ptr<state> made);
        std::shared_ptr<state> self;
    };

    /// Answers are read as they come or, with an interval, each time that it has passed: cheaper
    /// where many long answers come in small parts.
    explicit client(duration read_interval = duration::zero());
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    [[nodiscard]] std::unique_ptr<call> start(const request& wanted, callbacks notify);

private:
    class sessions;
    std::unique_ptr<sessions> self;
};

} // namespace kingcupcart::http
