#pragma once

#include "process/deployment.h"

#include <memory>
#include <set>
#include <string>

namespace kingcupcart::process_tests {

/// A stream of the service "chat" over its client's tries: the client may leave at any time, and
/// takes the stream up again after the last event that it has received.
class client_stream {
public:
    /// `last_event` is the number of the last event that an earlier try brought, if there was one.
    client_stream(deployment& test_deployment, std::string name, int last_event = 0);

    /// Sends the first try to the gateway with that base URL for callers.
    void begin(const std::string& gateway);
    void take_up(const std::string& gateway);
    /// Closes the connection of the current try.
    void leave();

    /// Whether the current try has brought an event.
    bool goes_on();
    bool has_event(int number);
    [[nodiscard]] bool is_ended() const { return this->current->is_completed; }
    /// Whether an event is missing or came twice, in a try or between two.
    [[nodiscard]] bool is_broken() const { return this->has_broken_order; }
    [[nodiscard]] int tries() const { return this->try_count; }
    [[nodiscard]] const client_call& call() const { return *this->current; }
    /// The software versions that the stream's events name.
    [[nodiscard]] const std::set<std::string>& versions() const { return this->seen_versions; }

private:
    void send(const std::string& gateway, const std::string& resumes);
    /// Reads the events that have arrived.
    void update();

    deployment& test_deployment;
    std::string name;
    int try_count;
    int last_event;
    /// The last event of the tries before the current one.
    int received_before = 0;
    bool has_broken_order = false;
    std::set<std::string> seen_versions;
    std::unique_ptr<client_call> current;
};

} // namespace kingcupcart::process_tests
