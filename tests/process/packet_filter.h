#pragma once

namespace kingcupcart::process_tests {

/// Sets whether the kernel drops all packets that arrive for the socket, as if a link had lost
/// them: a connection's peer gets no acknowledgement, and connections to a listener hang while they
/// open. Throws `std::system_error` if the kernel refuses.
void drop_received_packets(int socket, bool are_dropped);

} // namespace kingcupcart::process_tests
