#include "streams/stream_lookup.h"

#include "streams/record_limits.h"

#include <algorithm>

namespace kingcupcart::streams {

stream_lookup::stream_lookup(const lookup_order& order, time_point now, time_point deadline)
    : others_at(now + likely_answer_time),
      deadline(std::min(deadline, now + duration(max_lookup_time))) {
    for (const instance_id& keeper : order.likely) {
        this->keepers[keeper].is_likely = true;
    }
    for (const instance_id& keeper : order.others) {
        this->keepers.try_emplace(keeper);
    }
}

bool stream_lookup::is_waiting_for_likely() const {
    return std::any_of(this->keepers.begin(), this->keepers.end(), [](const auto& entry) {
        return entry.second.is_likely && (entry.second.state == keeper_state::not_asked ||
                                          entry.second.state == keeper_state::asked);
    });
}

std::vector<instance_id> stream_lookup::take_due(time_point now) {
    const bool asks_others = now >= this->others_at || !this->is_waiting_for_likely();
    std::vector<instance_id> due;
    for (auto& [id, keeper] : this->keepers) {
        if (keeper.state == keeper_state::not_asked && (keeper.is_likely || asks_others)) {
            keeper.state = keeper_state::asked;
            due.push_back(id);
        }
    }
    return due;
}

void stream_lookup::record_answer(const instance_id& keeper,
                                  const std::optional<stream_record>& answer) {
    const auto asked = this->keepers.find(keeper);
    if (asked == this->keepers.end() || this->found) {
        return;
    }
    if (!answer) {
        asked->second.state = keeper_state::unknown;
        return;
    }
    this->found = lookup_result{
        answer->software ? lookup_outcome::found : lookup_outcome::version_unknown, answer, keeper};
}

void stream_lookup::record_lost(const instance_id& keeper) {
    const auto asked = this->keepers.find(keeper);
    if (asked != this->keepers.end() && asked->second.state != keeper_state::unknown) {
        asked->second.state = keeper_state::lost;
    }
}

std::optional<lookup_result> stream_lookup::result(time_point now) const {
    if (this->found) {
        return this->found;
    }
    const auto is_in = [this](keeper_state state) {
        return std::any_of(this->keepers.begin(), this->keepers.end(),
                           [state](const auto& entry) { return entry.second.state == state; });
    };
    const bool is_waiting = is_in(keeper_state::not_asked) || is_in(keeper_state::asked);
    if (is_waiting && now < this->deadline) {
        return std::nullopt;
    }
    const bool is_known_nowhere =
        !is_waiting && !is_in(keeper_state::lost) && !this->keepers.empty();
    return lookup_result{is_known_nowhere ? lookup_outcome::stream_unknown
                                          : lookup_outcome::unanswered,
                         std::nullopt,
                         {}};
}

time_point stream_lookup::next_wakeup() const {
    const bool waits_for_others =
        std::any_of(this->keepers.begin(), this->keepers.end(), [](const auto& entry) {
            return entry.second.state == keeper_state::not_asked;
        });
    return waits_for_others ? std::min(this->others_at, this->deadline) : this->deadline;
}

} // namespace kingcupcart::streams
