#include "keeper/internal/target_updates.h"

#include <utility>

namespace kingcupcart::keeper {

target_updates::target_updates(parameters arguments) : params(std::move(arguments)) {}

void target_updates::send_to_all(const membership::target_record& record) {
    const wire::encoded_message update(wire::target_update{record});
    this->for_keepers.push_back(update);
    this->for_gateways_and_stores.push_back(update);
    this->send_if_due();
}

void target_updates::send_to_gateways_and_stores(const membership::target_record& record) {
    this->for_gateways_and_stores.emplace_back(wire::target_update{record});
    this->send_if_due();
}

void target_updates::send_if_due() {
    const time_point now = this->params.time->now();
    if (now >= this->window_began_at + collect_time) {
        this->window_began_at = now;
        this->single_updates = 0;
    }
    if (++this->single_updates <= max_single_updates) {
        this->flush();
    } else if (!std::exchange(this->is_waiting, true)) {
        this->params.wake_at(this->window_began_at + collect_time);
    }
}

void target_updates::flush() {
    this->is_waiting = false;
    if (!this->for_keepers.empty()) {
        this->params.send_to_keepers(std::exchange(this->for_keepers, {}));
    }
    if (!this->for_gateways_and_stores.empty()) {
        this->params.send_to_gateways_and_stores(std::exchange(this->for_gateways_and_stores, {}));
    }
}

std::vector<wire::encoded_message>
target_updates::encode_all(const std::vector<membership::target_record>& records) {
    std::vector<wire::encoded_message> updates;
    updates.reserve(records.size());
    std::map<target_id, encoded_record> current;
    for (const membership::target_record& record : records) {
        auto known = this->encoded.extract(record.id);
        if (known.empty() || known.mapped().record != record) {
            const encoded_record changed{record,
                                         wire::encoded_message(wire::target_update{record})};
            current.insert_or_assign(record.id, changed);
        } else {
            current.insert(std::move(known));
        }
        updates.push_back(current.at(record.id).update);
    }
    this->encoded = std::move(current);
    return updates;
}

} // namespace kingcupcart::keeper
