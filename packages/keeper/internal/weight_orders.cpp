#include "keeper/internal/weight_orders.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace kingcupcart::keeper {

namespace {

/// Largest response to a load order or to a request for a report, in bytes.
constexpr std::size_t max_response_bytes = 1024UL * 1024;
/// An order or a report request without a response within this time counts as failed. Far above a
/// round trip.
constexpr duration call_timeout = std::chrono::milliseconds(1200);
/// The planner runs at least this often while this keeper leads.
constexpr duration planner_interval = std::chrono::milliseconds(200);

const char* to_string(rollout::load_order_result result) {
    switch (result) {
    case rollout::load_order_result::accepted:
        return "accepted";
    case rollout::load_order_result::holds:
        return "holds";
    case rollout::load_order_result::conflict:
        return "conflict";
    case rollout::load_order_result::wrong_engine:
        return "wrong-engine";
    case rollout::load_order_result::refused:
        return "refused";
    case rollout::load_order_result::unknown:
        return "unknown";
    }
    return "?";
}

} // namespace

weight_orders::weight_orders(parameters arguments, callbacks notify)
    : params(std::move(arguments)),
      notify(std::move(notify)),
      client(*this->params.time, {this->params.limits, {}}),
      lease({this->params.lease}),
      timer([this] { this->handle_timer(); }),
      cleanup_timer([this] { this->pending_deletion.clear(); }) {}

weight_orders::~weight_orders() = default;

void weight_orders::dispatch(const rollout::planner_message& message) {
    this->execute(this->planner.handle(message, this->params.time->now()));
    this->arm();
}

void weight_orders::leadership_changed(bool leads) {
    this->is_leader = leads;
    this->lease.leadership_changed(leads, this->duty_time());
    if (!leads && std::exchange(this->has_authority, false)) {
        this->calls.clear();
        this->completions.clear();
        this->dispatch(rollout::authority_changed{false});
    }
    this->arm();
}

std::optional<fencing_token> weight_orders::authority() {
    return this->lease.authority({this->params.may_order(), this->params.fence()},
                                 this->duty_time());
}

void weight_orders::handle_timer() {
    const time_point now = this->params.time->now();
    const auto begins_at = this->lease.begins_at();
    if (begins_at && !this->has_authority && *begins_at <= now) {
        this->has_authority = true;
        spdlog::info("sending of load orders starts holder={} fence={}",
                     this->params.holder.value(), this->params.fence().value());
        this->dispatch(rollout::authority_changed{true});
    }
    std::vector<target_id> overdue;
    for (const auto& [engine, call] : this->calls) {
        if (call.deadline <= now) {
            overdue.push_back(engine);
        }
    }
    for (const target_id& engine : overdue) {
        this->end_call(engine, false);
    }
    this->dispatch(rollout::timer_expired{});
}

void weight_orders::arm() {
    if (this->is_leader) {
        const time_point now = this->params.time->now();
        const time_point next = this->planner.next_wakeup().value_or(now + planner_interval);
        this->timer.arm(std::min(next, now + planner_interval));
    } else {
        this->timer.disarm();
    }
}

void weight_orders::execute(const rollout::planner_actions& actions) {
    for (const rollout::planner_action& action : actions) {
        if (const auto* load = std::get_if<rollout::send_load_order>(&action)) {
            this->send(*load);
        } else if (const auto* report = std::get_if<rollout::request_report>(&action)) {
            this->request_report(*report);
        } else if (const auto* changed = std::get_if<rollout::loading_changed>(&action)) {
            this->notify.loading_changed(changed->engine, changed->is_loading);
        } else if (const auto* loaded = std::get_if<rollout::weights_loaded>(&action)) {
            this->notify.loaded(loaded->engine, loaded->model, loaded->version);
        } else if (const auto* reassigned = std::get_if<rollout::engine_reassigned>(&action)) {
            spdlog::info("engine reassigned by demand engine={} service={} from={} to={} "
                         "engines_of_from={} wanted_of_from={} engines_of_to={} wanted_of_to={}",
                         reassigned->engine.value(), reassigned->service.value(),
                         reassigned->from.value(), reassigned->to.value(),
                         reassigned->engines_of_from, reassigned->wanted_of_from,
                         reassigned->engines_of_to, reassigned->wanted_of_to);
        }
    }
}

// Without a fingerprint: an order is this keeper's own call, not a caller's request.
void weight_orders::send(const rollout::send_load_order& load) {
    const membership::target_record* target = this->params.targets->find(load.engine);
    const std::optional<fencing_token> fence = this->authority();
    if (target == nullptr || !fence) {
        // Nothing was sent, so the engine can't execute the order later.
        spdlog::warn("load order not sent engine={} reason={}", load.engine.value(),
                     target == nullptr ? "gone" : "leadership-not-sure");
        this->dispatch(
            rollout::load_order_response{load.engine, rollout::load_order_result::wrong_engine});
        return;
    }
    const engines::load_order order{load, this->params.holder, *fence};
    this->start_call(
        load.engine, this->params.protocol.order_load(order, *target),
        [this, fence] { return this->authority() == fence; },
        [this, load](bool is_complete, open_call& call) {
            const auto result = is_complete
                                    ? this->params.protocol.parse_load_order_result(call.head)
                                    : rollout::load_order_result::unknown;
            spdlog::info("load order answered engine={} model={} version={} expected={} outcome={}",
                         load.engine.value(), load.model.value(), load.version.value(),
                         load.orders_expected, to_string(result));
            this->dispatch(rollout::load_order_response{load.engine, result});
        });
}

void weight_orders::request_report(const rollout::request_report& action) {
    const target_id engine = action.engine;
    const membership::target_record* target = this->params.targets->find(engine);
    if (target == nullptr) {
        this->dispatch(rollout::report_failed{engine});
        return;
    }
    this->start_call(
        engine, this->params.protocol.request_report(*target), [] { return true; },
        [this, engine](bool is_complete, open_call& call) {
            auto parsed = value_or_error([&]() -> outcome<rollout::engine_report> {
                if (!is_complete) {
                    return fail(error_code::unavailable, "no answer");
                }
                return this->params.protocol.parse_report(call.body);
            });
            if (const auto* problem = std::get_if<error>(&parsed)) {
                spdlog::warn("engine report failed engine={} error=\"{}\"", engine.value(),
                             problem->message);
                this->dispatch(rollout::report_failed{engine});
                return;
            }
            auto& report = std::get<rollout::engine_report>(parsed);
            report.engine = engine;
            this->dispatch(report);
        });
}

void weight_orders::start_call(const target_id& engine, const http::request& request,
                               std::function<bool()> may_write,
                               std::function<void(bool, open_call&)> on_complete) {
    open_call& call = this->calls[engine];
    call = open_call{};
    const std::uint64_t number = ++this->last_call_number;
    call.number = number;
    call.deadline = this->params.time->now() + call_timeout;
    this->completions.insert_or_assign(engine, std::move(on_complete));
    http::request limited = request;
    limited.max_response_bytes = max_response_bytes;
    const membership::target_record* target = this->params.targets->find(engine);
    const incarnation_id incarnation = target == nullptr ? incarnation_id() : target->incarnation;
    const time_point sent_at = this->params.time->now();
    this->notify.call_started(engine);
    call.call = this->client.start(
        limited, {[this, engine, number, may_write = std::move(may_write)] {
                      open_call* open = this->find_call(engine, number);
                      if (open != nullptr && !may_write()) {
                          spdlog::warn("load order not sent engine={} reason=leadership-not-sure",
                                       engine.value());
                          // Destroyed here, so that nothing is written.
                          open->call.reset();
                          this->end_call(engine, false);
                      }
                  },
                  [this, engine, number, incarnation, sent_at](const http::response_head& head) {
                      if (open_call* open = this->find_call(engine, number)) {
                          open->head = head;
                      }
                      if (this->params.protocol.is_leaving(head)) {
                          this->notify.leaving(engine, incarnation);
                      }
                      this->notify.limit_stated(engine, incarnation,
                                                this->params.protocol.limit_of(head, {}), sent_at);
                  },
                  [this, engine, number](std::string_view data) {
                      if (open_call* open = this->find_call(engine, number)) {
                          open->body += data;
                      }
                  },
                  [this, engine, number](http::call_result result, const std::string&) {
                      if (this->find_call(engine, number) != nullptr) {
                          this->end_call(engine, result == http::call_result::complete);
                      }
                  }});
}

weight_orders::open_call* weight_orders::find_call(const target_id& engine, std::uint64_t number) {
    const auto found = this->calls.find(engine);
    const bool is_open = found != this->calls.end() && found->second.number == number;
    return is_open ? &found->second : nullptr;
}

void weight_orders::end_call(const target_id& engine, bool is_complete) {
    const auto found = this->calls.find(engine);
    if (found == this->calls.end()) {
        return;
    }
    // Removed before the callback runs, since that may start the engine's next call.
    open_call call = std::move(found->second);
    this->calls.erase(found);
    const auto on_complete = std::move(this->completions.at(engine));
    this->completions.erase(engine);
    on_complete(is_complete, call);
    this->pending_deletion.push_back(std::move(call));
    this->cleanup_timer.arm_now();
}

} // namespace kingcupcart::keeper
