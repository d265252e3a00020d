#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "streams/holders.h"
#include "streams/lookup_result.h"

#include <map>
#include <optional>
#include <vector>

namespace kingcupcart::streams {

/// The search for one stream's record at the keepers. Asks the likely holders first, and the other
/// keepers once none of the likely ones knows the stream or `likely_answer_time` has passed. The
/// first record that is found ends it.
class stream_lookup {
public:
    /// `order` holds all keepers that can be asked.
    stream_lookup(const lookup_order& order, time_point now, time_point deadline);

    /// The keepers to be asked now; each is returned once.
    [[nodiscard]] std::vector<instance_id> take_due(time_point now);
    void record_answer(const instance_id& keeper, const std::optional<stream_record>& answer);
    /// The keeper can't answer any more.
    void record_lost(const instance_id& keeper);
    /// Empty until the lookup has ended.
    [[nodiscard]] std::optional<lookup_result> result(time_point now) const;
    /// When `take_due` or `result` changes without an answer.
    [[nodiscard]] time_point next_wakeup() const;

private:
    enum class keeper_state { not_asked, asked, unknown, lost };

    struct asked_keeper {
        keeper_state state = keeper_state::not_asked;
        bool is_likely = false;
    };

    [[nodiscard]] bool is_waiting_for_likely() const;

    std::map<instance_id, asked_keeper> keepers;
    std::optional<lookup_result> found;
    time_point others_at;
    time_point deadline;
};

} // namespace kingcupcart::streams
