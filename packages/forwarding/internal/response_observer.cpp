#include "forwarding/response_observer.h"

#include "fleet/keeper_client.h"

namespace kingcupcart::forwarding {

void observe_response(fleet::keeper_client& fleet, const engines::target_protocol& protocol,
                      const observed_request& request, const http::response_head& head) {
    if (protocol.is_leaving(head)) {
        fleet.mark_leaving(request.target, request.incarnation);
    }
    fleet.limits().record(request.target, request.incarnation,
                          protocol.limit_of(head, request.name), request.sent_at);
}

} // namespace kingcupcart::forwarding
