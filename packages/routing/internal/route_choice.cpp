#include "routing/route_choice.h"

#include <cstdio>

namespace kingcupcart::routing {

const char* to_string(route_reason reason) {
    switch (reason) {
    case route_reason::least_loaded:
        return "least-loaded";
    case route_reason::prefix_cached:
        return "prefix-cached";
    case route_reason::probation_trial:
        return "probation-trial";
    case route_reason::spilled_over:
        return "spilled-over";
    case route_reason::only_suspects_left:
        return "only-suspects-left";
    case route_reason::no_room:
        return "no-room";
    case route_reason::no_permit:
        return "no-permit";
    case route_reason::no_target:
        return "no-target";
    }
    return "?";
}

std::string route_choice::explain() const {
    std::string text = "reason=";
    text += to_string(this->reason);
    text += " target=";
    text += this->target ? this->target->value() : "none";
    text += " distance=";
    text += to_string(this->target_distance);
    text += " considered=";
    std::string separator;
    for (const considered_target& scored : this->considered) {
        char score[32] = {};
        std::snprintf(score, sizeof score, ":%.2f", scored.score);
        text += separator + scored.id.value() + score;
        separator = ",";
    }
    return text;
}

} // namespace kingcupcart::routing
