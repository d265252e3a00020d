#include "quarantine/crash_messages.h"
#include "quarantine/quarantine_event.h"
#include "quarantine/send_decision.h"

namespace kingcupcart::quarantine {

const char* to_string(crash_status status) {
    switch (status) {
    case crash_status::suspected:
        return "suspected";
    case crash_status::proven:
        return "proven";
    case crash_status::withdrawn:
        return "withdrawn";
    }
    return "?";
}

const char* to_string(trial_verdict verdict) {
    switch (verdict) {
    case trial_verdict::granted:
        return "granted";
    case trial_verdict::waiting:
        return "waiting";
    case trial_verdict::refused:
        return "refused";
    }
    return "?";
}

const char* to_string(trial_outcome outcome) {
    switch (outcome) {
    case trial_outcome::completed:
        return "completed";
    case trial_outcome::crashed:
        return "crashed";
    case trial_outcome::unclear:
        return "unclear";
    case trial_outcome::unused:
        return "unused";
    }
    return "?";
}

const char* to_string(suspect_state state) {
    switch (state) {
    case suspect_state::cleared:
        return "cleared";
    case suspect_state::suspected:
        return "suspected";
    case suspect_state::restricted:
        return "restricted";
    case suspect_state::unconfirmed:
        return "unconfirmed";
    case suspect_state::quarantined:
        return "quarantined";
    }
    return "?";
}

const char* to_string(quarantine_transition transition) {
    switch (transition) {
    case quarantine_transition::suspected:
        return "suspected";
    case quarantine_transition::confirmed:
        return "confirmed";
    case quarantine_transition::cleared:
        return "cleared";
    case quarantine_transition::refused:
        return "refused";
    case quarantine_transition::expired:
        return "expired";
    }
    return "?";
}

const char* to_string(send_permission permission) {
    switch (permission) {
    case send_permission::free:
        return "free";
    case send_permission::alone:
        return "alone";
    case send_permission::trial:
        return "trial";
    case send_permission::wait:
        return "wait";
    case send_permission::refused:
        return "refused";
    }
    return "?";
}

} // namespace kingcupcart::quarantine
