#include "relaying/relay_result.h"

namespace kingcupcart::relaying {

const char* to_string(relay_result result) {
    switch (result) {
    case relay_result::complete:
        return "complete";
    case relay_result::no_relay:
        return "no-relay";
    case relay_result::declined:
        return "declined";
    case relay_result::broken:
        return "broken";
    }
    return "?";
}

} // namespace kingcupcart::relaying
