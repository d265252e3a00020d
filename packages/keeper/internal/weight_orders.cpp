#include "keeper/internal/weight_orders.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::keeper {

namespace {

/// An order or a report that is not answered by then is taken for lost; far above a round trip.
constexpr duration call_limit = std::chrono::milliseconds(1200);
/// Added to the lease, for clocks that drift and orders that are on their way.
constexpr duration lease_margin = std::chrono::milliseconds(300);
constexpr duration tick = std::chrono::milliseconds(200);

const char* to_string(rollout::order_answer answer) {
    switch (answer) {
    case rollout::order_answer::accepted:
        return "accepted";
    case rollout::order_answer::holds:
        return "holds";
    case rollout::order_answer::conflict:
        return "conflict";
    case rollout::order_answer::wrong_engine:
        return "wrong-engine";
    case rollout::order_answer::refused:
        return "refused";
    case rollout::order_answer::unknown:
        return "unknown";
    }
    return "?";
}

} // namespace

weight_orders::weight_orders(parameters arguments, callbacks notify)
    : params(std::move(arguments)),
      notify(std::move(notify)),
      timer([this] { this->handle_timer(); }),
      cleanup_timer([this] { this->finished.clear(); }) {}

weight_orders::~weight_orders() = default;

void weight_orders::tell_planner(const rollout::planner_message& said) {
    this->execute(this->planner.handle(said, this->params.time->now()));
    this->arm();
}

void weight_orders::leadership_changed(bool leads) {
    this->is_leader = leads;
    this->authority_at = this->params.time->now() + this->params.lease + lease_margin;
    if (!leads && std::exchange(this->has_authority, false)) {
        this->calls.clear();
        this->ends.clear();
        this->tell_planner(rollout::authority_changed{false});
    }
    this->arm();
}

void weight_orders::handle_timer() {
    const time_point now = this->params.time->now();
    if (this->is_leader && !this->has_authority && this->authority_at <= now) {
        this->has_authority = true;
        spdlog::info("orders to engines begin holder={} fence={}", this->params.holder.value(),
                     this->params.fence().value());
        this->tell_planner(rollout::authority_changed{true});
    }
    std::vector<target_id> overdue;
    for (const auto& [engine, call] : this->calls) {
        if (call.due <= now) {
            overdue.push_back(engine);
        }
    }
    for (const target_id& engine : overdue) {
        this->end(engine, false);
    }
    this->tell_planner(rollout::timer_expired{});
}

void weight_orders::arm() {
    if (this->is_leader) {
        const time_point now = this->params.time->now();
        const time_point next = this->planner.next_wakeup().value_or(now + tick);
        this->timer.arm(std::min(next, now + tick));
    } else {
        this->timer.disarm();
    }
}

void weight_orders::execute(const rollout::planner_actions& wanted) {
    for (const rollout::planner_action& one : wanted) {
        if (const auto* load = std::get_if<rollout::send_load>(&one)) {
            this->send(*load);
        } else if (const auto* asked = std::get_if<rollout::ask_report>(&one)) {
            this->ask(*asked);
        } else if (const auto* changed = std::get_if<rollout::loading_changed>(&one)) {
            this->notify.loading_changed(changed->engine, changed->is_loading);
        } else if (const auto* loaded = std::get_if<rollout::weights_loaded>(&one)) {
            this->notify.loaded(loaded->engine, loaded->model, loaded->version);
        }
    }
}

void weight_orders::send(const rollout::send_load& load) {
    const membership::target_record* target = this->params.targets->find(load.engine);
    if (target == nullptr || !this->params.may_order()) {
        // Nothing was sent, so nothing can come of it.
        spdlog::warn("load withheld engine={} reason={}", load.engine.value(),
                     target == nullptr ? "gone" : "leadership-not-sure");
        this->tell_planner(
            rollout::order_answered{load.engine, rollout::order_answer::wrong_engine});
        return;
    }
    const engines::load_order order{load, this->params.holder, this->params.fence()};
    this->start(load.engine, this->params.port.order_load(order, *target),
                [this, load](bool is_whole, open_call& call) {
                    const auto answer = is_whole ? this->params.port.read_order_answer(call.head)
                                                 : rollout::order_answer::unknown;
                    spdlog::info("load engine={} model={} version={} expected={} outcome={}",
                                 load.engine.value(), load.model.value(), load.version.value(),
                                 load.orders_expected, to_string(answer));
                    this->tell_planner(rollout::order_answered{load.engine, answer});
                });
}

void weight_orders::ask(const rollout::ask_report& wanted) {
    const target_id engine = wanted.engine;
    const membership::target_record* target = this->params.targets->find(engine);
    if (target == nullptr) {
        this->tell_planner(rollout::report_failed{engine});
        return;
    }
    this->start(engine, this->params.port.ask_report(*target),
                [this, engine](bool is_whole, open_call& call) {
                    auto read = value_or_error([&]() -> outcome<rollout::engine_reported> {
                        if (!is_whole) {
                            return fail(error_code::unavailable, "no answer");
                        }
                        return this->params.port.read_report(call.body);
                    });
                    if (const auto* problem = std::get_if<error>(&read)) {
                        spdlog::warn("report failed engine={} error=\"{}\"", engine.value(),
                                     problem->message);
                        this->tell_planner(rollout::report_failed{engine});
                        return;
                    }
                    auto& said = std::get<rollout::engine_reported>(read);
                    said.engine = engine;
                    this->tell_planner(said);
                });
}

void weight_orders::start(const target_id& engine, const http::request& wanted,
                          std::function<void(bool, open_call&)> ended) {
    open_call& call = this->calls[engine];
    call = open_call{};
    const std::uint64_t number = ++this->last_call;
    call.number = number;
    call.due = this->params.time->now() + call_limit;
    this->ends.insert_or_assign(engine, std::move(ended));
    call.call =
        this->client.start(wanted, {[] {},
                                    [this, engine, number](const http::answer_head& head) {
                                        if (open_call* open = this->find(engine, number)) {
                                            open->head = head;
                                        }
                                    },
                                    [this, engine, number](std::string_view data) {
                                        if (open_call* open = this->find(engine, number)) {
                                            open->body += data;
                                        }
                                    },
                                    [this, engine, number](http::call_end how, const std::string&) {
                                        if (this->find(engine, number) != nullptr) {
                                            this->end(engine, how == http::call_end::complete);
                                        }
                                    }});
}

weight_orders::open_call* weight_orders::find(const target_id& engine, std::uint64_t number) {
    const auto found = this->calls.find(engine);
    const bool is_open = found != this->calls.end() && found->second.number == number;
    return is_open ? &found->second : nullptr;
}

void weight_orders::end(const target_id& engine, bool is_whole) {
    const auto found = this->calls.find(engine);
    if (found == this->calls.end()) {
        return;
    }
    // The callback may begin the engine's next call.
    open_call call = std::move(found->second);
    this->calls.erase(found);
    const auto ended = std::move(this->ends.at(engine));
    this->ends.erase(engine);
    ended(is_whole, call);
    this->finished.push_back(std::move(call));
    this->cleanup_timer.arm_now();
}

} // namespace kingcupcart::keeper
