#include "requests/internal/dispatcher_state.h"

/// What the dispatcher does with requests whose targets this instance does not reach.
namespace kingcupcart::requests {

void dispatcher::state::on(const attempt_opened& /*opened*/) {}

void dispatcher::state::on(const attempt_reached& /*reached*/) {}

void dispatcher::state::on(const attempt_silent& /*silent*/) {}

void dispatcher::state::on(const probe_ended& /*ended*/) {}

} // namespace kingcupcart::requests
