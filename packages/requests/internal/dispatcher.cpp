#include "requests/dispatcher.h"

#include "requests/internal/dispatcher_state.h"

#include <algorithm>
#include <utility>

namespace kingcupcart::requests {

namespace {

routing::target_profile profile_of(const membership::target_record& record) {
    routing::target_profile profile;
    profile.id = record.id;
    profile.backend = record.backend;
    profile.place = record.place;
    profile.slots = record.slots;
    profile.leaving = record.leaving;
    profile.software = record.software;
    return profile;
}

} // namespace

dispatcher::dispatcher(location local_location, dispatcher_limits limits, std::uint64_t seed,
                       permits::permit_account* permits, quarantine::crash_account* crashes)
    : impl(std::make_unique<state>(std::move(local_location), limits, seed, permits, crashes)) {}

dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;

actions dispatcher::handle(const message& incoming, time_point now) {
    this->impl->begin(now);
    std::visit([this](const auto& alternative) { this->impl->on(alternative); }, incoming);
    return std::exchange(this->impl->output, {});
}

void dispatcher::set_classes(const std::vector<admission::work_class>& classes) {
    // Classes that the configuration no longer has stay, since queued requests may refer to them.
    for (const admission::work_class& work : classes) {
        this->impl->classes.insert_or_assign(work.name, work);
    }
}

actions dispatcher::update_target(const membership::directory_change& change, time_point now) {
    using membership::directory_event;
    this->impl->begin(now);
    this->impl->record_target(change);
    this->impl->record_path(change);
    const backend_name previous_backend = this->impl->router.backend_of(change.record.id);
    const bool had_several_versions =
        this->impl->router.has_several_versions(change.record.backend);
    switch (change.event) {
    case directory_event::removed:
        this->impl->router.remove_target(change.record.id);
        break;
    case directory_event::restarted:
        this->impl->router.update_target(profile_of(change.record));
        this->impl->router.reset_target(change.record.id);
        break;
    case directory_event::added:
    case directory_event::changed:
        this->impl->router.update_target(profile_of(change.record));
        break;
    case directory_event::renewed:
    case directory_event::stale:
        return {};
    }
    this->impl->update_paths();
    if (!had_several_versions && this->impl->router.has_several_versions(change.record.backend)) {
        this->impl->separate_versions(change.record.backend);
    }
    this->impl->send_queued(change.record.backend);
    this->impl->refuse_unserved(change.record.backend);
    if (previous_backend != change.record.backend) {
        this->impl->refuse_unserved(previous_backend);
    }
    this->impl->await_permits(change.record.backend);
    return std::exchange(this->impl->output, {});
}

actions dispatcher::update_permits(const target_id& target, time_point now) {
    this->impl->begin(now);
    const backend_name backend = this->impl->router.backend_of(target);
    this->impl->send_queued(backend);
    this->impl->await_permits(backend);
    this->impl->refuse_without_permit(target);
    return std::exchange(this->impl->output, {});
}

actions dispatcher::update_suspect(const request_fingerprint& fingerprint, time_point now) {
    this->impl->begin(now);
    this->impl->update_suspect(fingerprint);
    return std::exchange(this->impl->output, {});
}

void dispatcher::record_load(const membership::target_load& load) {
    this->impl->router.record_load_report(load.id, {load.running, load.waiting});
}

void dispatcher::record_cached(const target_id& target, const std::vector<prefix_hash>& blocks,
                               time_point now) {
    this->impl->router.record_cached(target, blocks, now);
}

void dispatcher::set_instances(int count) {
    this->impl->router.set_instances(count);
}

actions dispatcher::announce_stop(time_point deadline, time_point now) {
    this->impl->begin(now);
    this->impl->announce_stop(deadline);
    return std::exchange(this->impl->output, {});
}

actions dispatcher::begin_stop(time_point deadline, time_point now) {
    this->impl->begin(now);
    this->impl->begin_stop(deadline);
    return std::exchange(this->impl->output, {});
}

void dispatcher::set_kept_connections(std::function<bool(const target_id&)> has_kept_connection) {
    this->impl->has_kept_connection = std::move(has_kept_connection);
}

std::vector<backend_name> dispatcher::cut_off_backends(time_point now) const {
    return this->impl->paths.cut_off_backends(now);
}

std::optional<time_point> dispatcher::next_wakeup() const {
    const auto timer = this->impl->timers.next();
    const auto path = this->impl->next_path_wakeup();
    return timer && path ? std::min(*timer, *path) : (timer ? timer : path);
}

bool dispatcher::has_request(request_id request) const {
    return this->impl->requests.contains(request);
}

int dispatcher::running_on(const target_id& target) const {
    return this->impl->router.running_on(target);
}

std::size_t dispatcher::open_requests() const {
    return this->impl->requests.size();
}

std::size_t dispatcher::queued_requests() const {
    std::size_t count = 0;
    for (const auto& [backend, queues] : this->impl->queues) {
        count += queues.size();
    }
    return count;
}

std::size_t dispatcher::target_count(const backend_name& backend) const {
    return this->impl->router.target_count(backend);
}

} // namespace kingcupcart::requests
