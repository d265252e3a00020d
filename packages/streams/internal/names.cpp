#include "streams/lookup_result.h"

namespace kingcupcart::streams {

const char* to_string(lookup_outcome outcome) {
    switch (outcome) {
    case lookup_outcome::found:
        return "found";
    case lookup_outcome::version_unknown:
        return "version-unknown";
    case lookup_outcome::stream_unknown:
        return "stream-unknown";
    case lookup_outcome::unanswered:
        return "unanswered";
    }
    return "?";
}

} // namespace kingcupcart::streams
