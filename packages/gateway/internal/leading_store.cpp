#include "gateway/internal/leading_store.h"

namespace kingcupcart::gateway {

leading_store::effect leading_store::update(const instance_id& store,
                                            const instance_id& named_leader,
                                            std::optional<quorum::term_number> term) {
    if (named_leader.value().empty()) {
        // A store that knows no leader does not invalidate the leader that another store reported.
        return this->lose(store) ? effect::changed : effect::none;
    }
    // With no leader known, any report is better than none; the next election corrects it.
    if (this->is_known() && this->leader_term && term && *term < *this->leader_term) {
        return named_leader == this->leader ? effect::none : effect::outdated;
    }
    this->leader_term = term;
    if (named_leader == this->leader) {
        return effect::none;
    }
    this->leader = named_leader;
    return effect::changed;
}

bool leading_store::lose(const instance_id& store) {
    if (store != this->leader) {
        return false;
    }
    this->leader = instance_id();
    return true;
}

} // namespace kingcupcart::gateway
