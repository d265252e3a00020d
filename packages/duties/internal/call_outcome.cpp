#include "duties/platform_call.h"

namespace kingcupcart::duties {

const char* to_string(call_outcome outcome) {
    switch (outcome) {
    case call_outcome::accepted:
        return "accepted";
    case call_outcome::none_available:
        return "none-available";
    case call_outcome::busy:
        return "busy";
    case call_outcome::refused:
        return "refused";
    case call_outcome::unknown:
        return "unknown";
    }
    return "?";
}

} // namespace kingcupcart::duties
