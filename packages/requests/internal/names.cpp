#include "requests/actions.h"
#include "requests/outcome_kind.h"
#include "requests/refusal_reason.h"

namespace kingcupcart::requests {

const char* to_string(outcome_kind kind) {
    switch (kind) {
    case outcome_kind::answered:
        return "answered";
    case outcome_kind::not_run:
        return "not_run";
    case outcome_kind::unknown:
        return "unknown";
    }
    return "?";
}

const char* to_string(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::queue_full:
        return "queue-full";
    case refusal_reason::would_be_late:
        return "would-be-late";
    case refusal_reason::deadline_passed:
        return "deadline-passed";
    case refusal_reason::no_target:
        return "no-target";
    case refusal_reason::rate_limited:
        return "rate-limited";
    case refusal_reason::unknown_class:
        return "unknown-class";
    case refusal_reason::target_unreachable:
        return "target-unreachable";
    case refusal_reason::target_failed:
        return "target-failed";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::unknown_software:
        return "unknown-software";
    case refusal_reason::no_path:
        return "no-path";
    case refusal_reason::unsendable:
        return "unsendable";
    }
    return "?";
}

bool concerns_request(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::deadline_passed:
    case refusal_reason::unknown_class:
    case refusal_reason::quarantined:
    case refusal_reason::unknown_software:
    case refusal_reason::unsendable:
    case refusal_reason::rate_limited:
        return true;
    case refusal_reason::queue_full:
    case refusal_reason::would_be_late:
    case refusal_reason::no_target:
    case refusal_reason::target_unreachable:
    case refusal_reason::target_failed:
    case refusal_reason::stopping:
    case refusal_reason::no_path:
        break;
    }
    return false;
}

const char* to_string(send_cause cause) {
    switch (cause) {
    case send_cause::first:
        return "first";
    case send_cause::retry:
        return "retry";
    case send_cause::hedge:
        return "hedge";
    case send_cause::resume:
        return "resume";
    case send_cause::moved:
        return "moved";
    }
    return "?";
}

} // namespace kingcupcart::requests
