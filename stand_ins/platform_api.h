#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/outcome.h"
#include "http/exchange.h"
#include "http/server.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace kingcupcart::stand_ins {

/// A stand-in for the platform's API: it records the calls that arrive, and checks the rules that
/// hold for each subject. Runs on the event loop of the thread that created it.
class platform_api {
public:
    enum class mode { accepting, busy, silent, resetting };

    static outcome<std::unique_ptr<platform_api>> open(const endpoint& address);

    void set_mode(mode next) { this->current = next; }
    [[nodiscard]] endpoint address() const { return this->server->address(); }
    [[nodiscard]] const std::string& last_holder() const { return this->holder; }
    /// The windows whose report was accepted, with the report's body.
    [[nodiscard]] const std::map<std::uint64_t, std::string>& windows() const {
        return this->accepted;
    }
    /// The number of replicas in the latest accepted order, by service, failure domain and whether
    /// they are spot ones.
    using scale_subject = std::tuple<std::string, std::string, bool>;
    [[nodiscard]] const std::map<scale_subject, int>& desired_replicas() const {
        return this->desired;
    }
    [[nodiscard]] const std::set<std::string>& holders() const { return this->all_holders; }
    [[nodiscard]] std::size_t call_count() const { return this->calls; }
    /// Descriptions of the calls that break a rule.
    [[nodiscard]] const std::vector<std::string>& violations() const { return this->broken_rules; }

private:
    void handle(std::unique_ptr<http::exchange> exchange);
    void check(const std::string& subject, const std::string& from, std::uint64_t fence);

    std::unique_ptr<http::server> server;
    mode current = mode::accepting;
    std::string holder;
    std::set<std::string> all_holders;
    /// By subject: the holder that used each fencing token.
    std::map<std::string, std::map<std::uint64_t, std::string>> fences;
    /// The body of each report that has arrived, accepted or not.
    std::map<std::uint64_t, std::string> received;
    std::map<std::uint64_t, std::string> accepted;
    std::map<scale_subject, int> desired;
    std::size_t calls = 0;
    std::vector<std::string> broken_rules;
    /// Calls that get no response.
    std::vector<std::unique_ptr<http::exchange>> unanswered;
};

} // namespace kingcupcart::stand_ins
