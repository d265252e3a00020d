#include "http/listening_check.h"

#include "http/internal/connection.h"

#include <utility>

namespace kingcupcart::http {

namespace {

listening_check::result result_of(const error& problem) {
    return problem.code == error_code::not_found ? listening_check::result::refused
                                                 : listening_check::result::unknown;
}

} // namespace

listening_check::listening_check(const clock& time, const endpoint& address, duration max_time,
                                 std::function<void(result)> on_result)
    : on_result(std::move(on_result)), timer([this] { this->handle_timer(); }) {
    auto dialled = value_or_error([&] { return connection::dial(address); });
    if (const auto* problem = std::get_if<error>(&dialled)) {
        // Reported from the event loop, too.
        this->found = result_of(*problem);
        this->timer.arm(time.now());
        return;
    }
    this->link = std::get<std::unique_ptr<connection>>(std::move(dialled));
    this->link->set_handler([this] { this->handle_ready(); });
    this->link->await_writable(true);
    this->timer.arm(time.now() + max_time);
}

listening_check::~listening_check() = default;

void listening_check::handle_ready() {
    const auto connected = value_or_error([&] { return this->link->finish_connecting(); });
    const auto* problem = std::get_if<error>(&connected);
    this->end(problem == nullptr ? result::listening : result_of(*problem));
}

void listening_check::handle_timer() {
    // If this process was held up, the connection may have opened in time.
    if (this->link && this->link->has_connected()) {
        this->handle_ready();
    } else {
        this->end(this->found);
    }
}

void listening_check::end(result found) {
    this->timer.disarm();
    this->link.reset();
    const auto callback = std::move(this->on_result);
    callback(found);
}

} // namespace kingcupcart::http
