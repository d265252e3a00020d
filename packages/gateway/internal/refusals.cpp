#include "gateway/internal/refusals.h"

namespace kingcupcart::gateway {

refusal make_refusal(const forwarding::call_failure& failure) {
    refusal details;
    details.reason = requests::to_string(failure.reason);
    details.retry_after =
        failure.retry_after > duration::zero() ? failure.retry_after : retry_after_default;
    if (failure.reason == requests::refusal_reason::quarantined) {
        // A delay of zero means that a retry would not succeed.
        details.retry_after = failure.retry_after;
    }
    if (failure.outcome == requests::outcome_kind::not_run) {
        details.kind = refusal_kind::not_run;
    } else {
        details.kind = failure.reason == requests::refusal_reason::deadline_passed
                           ? refusal_kind::too_late
                           : refusal_kind::failed;
    }
    return details;
}

refusal make_refusal(streams::lookup_outcome outcome) {
    switch (outcome) {
    case streams::lookup_outcome::stream_unknown:
        return {refusal_kind::not_run, "no gateway or keeper knows the stream", {}};
    case streams::lookup_outcome::version_unknown:
        return {refusal_kind::not_run, "the software version that began the stream is unknown", {}};
    case streams::lookup_outcome::found:
    case streams::lookup_outcome::unanswered:
        break;
    }
    return {refusal_kind::not_run, "no keeper could say which software version began the stream",
            retry_after_default};
}

} // namespace kingcupcart::gateway
