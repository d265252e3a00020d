#include "process/packet_filter.h"

#include <linux/filter.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace kingcupcart::process_tests {

void drop_received_packets(int socket, bool are_dropped) {
    // A filter that keeps no byte of a packet.
    sock_filter keep_nothing = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &keep_nothing};
    const int result =
        are_dropped ? setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
                    : setsockopt(socket, SOL_SOCKET, SO_DETACH_FILTER, &program, sizeof program);
    const bool had_no_filter = !are_dropped && errno == ENOENT;
    if (result != 0 && !had_no_filter) {
        throw std::system_error(errno, std::generic_category(), "socket filter");
    }
}

} // namespace kingcupcart::process_tests
