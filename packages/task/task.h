#pragma once

#include "task/event_loop.h"
#include "task/handler.h"
#include "task/mailbox.h"
#include "task/sender.h"

#include <cstddef>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace kingcupcart::task {

/// A thread with an event loop, a handler that owns sockets and state, and a mailbox.
template <handler Handler>
class task {
public:
    using message = typename Handler::message;

    static constexpr std::size_t default_mailbox_limit = 65536;

    explicit task(std::size_t mailbox_limit = default_mailbox_limit)
        : shared(std::make_shared<shared_state>()), mailbox_limit(mailbox_limit) {}
    ~task() { this->stop(); }
    task(const task&) = delete;
    task& operator=(const task&) = delete;

    /// Starts the thread and creates the handler on it. Returns false if `create` returns null;
    /// `create` reports the reason itself.
    bool start(std::function<std::unique_ptr<Handler>()> create) {
        std::promise<bool> started;
        auto has_started = started.get_future();
        this->thread = std::thread(
            [this, create = std::move(create), &started] { this->run(create, started); });
        const bool is_running = has_started.get();
        if (!is_running) {
            this->thread.join();
        }
        return is_running;
    }

    bool post(message incoming) { return this->shared->post(std::move(incoming)); }

    /// A sender to this task's mailbox. It stays valid after the task has ended, and then rejects
    /// every message.
    [[nodiscard]] sender<message> address() const {
        return sender<message>(
            [state = this->shared](message incoming) { return state->post(std::move(incoming)); });
    }

    /// Stops the event loop, destroys the handler and joins the thread.
    void stop() {
        if (this->thread.joinable()) {
            this->loop.quit();
            this->thread.join();
        }
    }

private:
    struct shared_state {
        bool post(message incoming) {
            const std::lock_guard guard(this->mutex);
            return this->inbox != nullptr && this->inbox->post(std::move(incoming));
        }
        void set(mailbox<message>* current) {
            const std::lock_guard guard(this->mutex);
            this->inbox = current;
        }

        std::mutex mutex;
        mailbox<message>* inbox = nullptr;
    };

    void run(const std::function<std::unique_ptr<Handler>()>& create, std::promise<bool>& started) {
        this->loop.enter();
        {
            std::unique_ptr<Handler> running_handler;
            mailbox<message> inbox(this->mailbox_limit, [&running_handler](message incoming) {
                running_handler->handle(std::move(incoming));
            });
            this->shared->set(&inbox);
            running_handler = create();
            if (running_handler == nullptr) {
                this->shared->set(nullptr);
                started.set_value(false);
            } else {
                started.set_value(true);
                this->loop.run();
                this->shared->set(nullptr);
                inbox.close();
                running_handler.reset();
            }
        }
        this->loop.leave();
    }

    event_loop loop;
    std::shared_ptr<shared_state> shared;
    std::size_t mailbox_limit;
    std::thread thread;
};

} // namespace kingcupcart::task
