#include "requests/internal/dispatcher_state.h"

/// What the dispatcher does with requests under which targets may have ended.
namespace kingcupcart::requests {

void dispatcher::state::update_suspect(const request_fingerprint& /*fingerprint*/) {}

} // namespace kingcupcart::requests
