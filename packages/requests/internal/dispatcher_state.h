#pragma once

#include "admission/duration_estimate.h"
#include "admission/retry_budget.h"
#include "paths/path_table.h"
#include "permits/permit_account.h"
#include "quarantine/crash_account.h"
#include "requests/dispatcher.h"
#include "requests/internal/attempt_state.h"
#include "requests/internal/backend_queues.h"
#include "requests/internal/request_state.h"
#include "requests/internal/timer_queue.h"
#include "routing/router.h"

#include <functional>
#include <optional>
#include <random>
#include <unordered_map>

namespace kingcupcart::requests {

/// The dispatcher's tables, and the steps of its decisions.
class dispatcher::state {
public:
    state(location local_location, dispatcher_limits limits, std::uint64_t seed,
          permits::permit_account* shared_permits, quarantine::crash_account* shared_crashes);

    /// Has to be called before each of the others, which may return actions.
    void begin(time_point current);
    void on(const request_arrived& arrived);
    void on(const attempt_write_started& started);
    void on(const attempt_opened& opened);
    void on(const attempt_reached& reached);
    void on(const attempt_silent& silent);
    void on(const attempt_progressed& progressed);
    void on(const attempt_paused& paused);
    void on(const attempt_completed& completed);
    void on(const attempt_failed& failed);
    void on(const caller_disconnected& disconnected);
    void on(const probe_ended& ended);
    void on(const timer_expired& expired);
    void announce_stop(time_point deadline);
    void begin_stop(time_point deadline);

    /// Has the queued requests of the backend wait for permits, if only limited targets are left.
    void await_permits(const backend_name& backend);
    /// Refuses the queued requests that no permit of the target is expected to reach in time.
    void refuse_without_permit(const target_id& target);
    /// Sends or refuses the requests with this fingerprint that are held.
    void update_suspect(const request_fingerprint& fingerprint);
    /// Records the incarnation and version of the target, and whether it is leaving.
    void record_target(const membership::directory_change& change);
    /// Moves the queued requests of the backend that need a version to queues of their own.
    void separate_versions(const backend_name& backend);
    /// Refuses the requests that wait for a version of which the backend has no target any more.
    void refuse_unserved(const backend_name& backend);
    /// Sends the queued requests of the backend for which a target has room.
    void send_queued(const backend_name& backend);
    /// Records of which targets the paths count.
    void record_path(const membership::directory_change& change);
    /// Reports changed paths. Sends what a cut that began or ended concerns.
    void update_paths();
    /// When `on(timer_expired)` has to be called for the paths to targets; empty if it has not.
    [[nodiscard]] std::optional<time_point> next_path_wakeup() const;

    dispatcher_limits limits;
    routing::router router;
    paths::path_table paths;
    /// Empty if no connection is known to be kept.
    std::function<bool(const target_id&)> has_kept_connection;
    std::unordered_map<work_class_name, admission::work_class> classes;
    std::unordered_map<backend_name, backend_queues> queues;
    std::unordered_map<request_id, request_state> requests;
    std::unordered_map<attempt_id, attempt_state> attempts;
    timer_queue timers;
    /// New requests are refused.
    bool stopping = false;
    /// When a planned stop ends; empty if none was announced.
    std::optional<time_point> stop_deadline;
    /// How long runs of each work class take, from sending to the complete response.
    std::unordered_map<work_class_name, admission::duration_estimate> run_times;
    /// Time of the message that is being handled, and the resulting actions.
    time_point now{};
    actions output;

private:
    /// Preempts drafts on targets that short work needs, and sends them to other targets.
    void preempt_long_work(const backend_name& backend);
    /// Cancels the attempt and queues its request, which resumes on another target.
    void preempt(attempt_id attempt);
    /// Whether the draft could go on at another target; one that needs a version keeps its target
    /// otherwise.
    [[nodiscard]] bool may_preempt(const request_state& request,
                                   const attempt_state& attempt) const;
    [[nodiscard]] static send_cause next_cause(const request_state& request);
    void enqueue(request_state& request);
    /// Has the request wait, or refuses it if another instance relays it and may find room
    /// elsewhere. Permits of a target are the same for all instances.
    void enqueue_or_decline(request_state& request, bool waits_for_permit);
    void route_and_send(request_state& request, send_cause cause);
    /// Refuses the request, or has it wait for a permit, if all its targets are limited. Returns
    /// false if it was refused.
    [[nodiscard]] bool await_permit(request_state& request);
    void stop_awaiting_permit(request_state& request);
    void handle_permit_due(request_state& request);
    void refuse_rate_limited(request_state& request, const target_id& target, duration wait);
    /// Whether the crash account permits an attempt of the request now. Otherwise the request is
    /// held, with the cause of its next attempt, or refused.
    [[nodiscard]] bool pass_quarantine(request_state& request, send_cause cause);
    [[nodiscard]] quarantine::send_decision decide_quarantine(const request_state& request) const;
    /// Whether another copy may be sent while an attempt of the request runs.
    [[nodiscard]] bool may_send_copy(const request_state& request) const;
    void stop_holding(request_state& request);
    void record_begin(const request_state& request, attempt_id attempt);
    [[nodiscard]] static routing::route_query make_query(const request_state& request);
    [[nodiscard]] routing::route_choice route(const request_state& request, bool allows_probe,
                                              bool allows_limited = true);
    void send(request_state& request, const routing::route_choice& choice, send_cause cause);
    /// Whether a target is left that the request may be sent to; true if any version may serve it.
    [[nodiscard]] bool has_version_left(const request_state& request) const;
    /// The version whose queue the request waits in; empty for the queue of all versions.
    [[nodiscard]] std::optional<software_version>
    queued_version(const request_state& request) const;
    /// Binds the stream to the version of the attempt that sent its first event.
    void bind(request_state& request, attempt_id attempt);
    /// Whether the target's record has changed since the request was sent, so that it isn't known
    /// which version sends.
    [[nodiscard]] bool has_changed(const attempt_state& attempt) const;
    /// The attempt that was selected, or else this one, if its target's record has changed and the
    /// request is a stream that may be resumed.
    [[nodiscard]] std::optional<attempt_id> find_changed_attempt(const request_state& request,
                                                                 attempt_id attempt) const;
    /// Ends an attempt whose target's record has changed, without passing on what it sent.
    void end_changed_attempt(attempt_id attempt);
    /// Before the stream ends for another reason: its caller must not take it up if the version of
    /// an event that was passed on may be unknown.
    void unbind_if_changed(const request_state& request);
    /// Ends the answer, since the version of an event that was passed on is unknown.
    void break_off(request_state& request, attempt_id attempt, const target_id& target);
    /// Whether this instance can open connections to no target of the backend.
    [[nodiscard]] bool is_cut_off(const backend_name& backend) const;
    /// Time that a connection to the target may take to open; zero for the client's own limit.
    [[nodiscard]] duration open_timeout(const target_id& target) const;
    void record_opened(const target_id& target, duration opening);
    void record_unopened(const target_id& target, duration elapsed);
    /// Discards old evidence, and probes the paths that are due.
    void check_paths();
    /// Sends the request over a kept connection, has another instance relay it, or refuses it.
    void send_despite_cut(request_state& request, send_cause cause);
    /// Chooses among the targets to which connections are kept that are not known to be dead.
    [[nodiscard]] routing::route_choice route_over_kept_connections(const request_state& request,
                                                                    bool allows_limited);
    [[nodiscard]] bool may_be_relayed(const request_state& request) const;
    void relay(request_state& request);
    /// Sends the backend's requests elsewhere that wait for targets or connections out of reach.
    void reroute(const backend_name& backend);
    /// Does so for this request, if it waits for such a target.
    void reroute(request_state& request);
    [[nodiscard]] bool is_stranded(const request_state& request) const;
    /// Resumes a stream elsewhere whose target may have been cut off too.
    void relay_stalled(request_state& request, duration silence);
    void handle_failed_relay(const attempt_failed& failed);
    void retry_or_refuse(request_state& request, attempt_failure failure, bool was_selected);
    void arm_hedge_timer(const request_state& request);
    void arm_stall_timer(const request_state& request);
    void hedge(request_state& request);
    void check_stall(request_state& request);
    void handle_deadline(request_state& request);
    /// The latest time at which the request may be sent so that it is expected to end before the
    /// planned stop does; empty if any time will do, or if it was sent already.
    [[nodiscard]] std::optional<time_point> latest_send(const request_state& request) const;
    [[nodiscard]] bool may_end_before_stop(const request_state& request) const;
    /// Shortens the request's deadline to the end of the stop, and has it checked again when it
    /// gets too late to send it.
    void limit_by_stop(request_state& request);
    void refuse_for_stop(request_state& request);
    [[nodiscard]] duration stall_delay(const request_state& request) const;
    /// Makes this attempt the source of the caller's output. Returns false if the attempt starts at
    /// another token than the caller needs; the attempt is cancelled then.
    bool select(request_state& request, attempt_id attempt);
    void cancel_others(request_state& request, attempt_id selected_attempt);
    void cancel(request_state& request, attempt_id attempt);
    void end_attempt(request_state& request, attempt_id attempt, quarantine::attempt_end how);
    /// A time after the wait, so that callers that are refused together do not return together.
    [[nodiscard]] duration spread(duration wait);
    void refuse(request_state& request, refusal_reason reason, duration retry_after = {});
    void erase_request(request_id request);
    [[nodiscard]] std::size_t max_attempts(const request_state& request) const;
    [[nodiscard]] const admission::work_class& class_of(const request_state& request) const;

    permits::permit_account own_permits;
    /// Never null.
    permits::permit_account* permits;
    /// Null if no request is subject to quarantine.
    quarantine::crash_account* crashes;
    struct known_target {
        incarnation_id incarnation;
        software_version software;
        bool leaving = false;
    };
    std::unordered_map<target_id, known_target> targets;
    std::mt19937_64 random;
    /// Its own, so that refusals do not change the other random choices.
    std::mt19937_64 refusal_random;
    admission::retry_budget budget;
    std::unordered_map<backend_name, time_point> last_preemption;
    attempt_id last_attempt{0};
    /// The backends that were last reported as cut off.
    std::vector<backend_name> cut_off;
    /// Targets whose kept connections the actions use that are not executed yet.
    std::vector<target_id> taken_connections;
};

} // namespace kingcupcart::requests
