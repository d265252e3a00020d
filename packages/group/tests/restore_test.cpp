#include "base/system_clock.h"
#include "group/replicated_log.h"
#include "task/event_loop.h"
#include "task/wakeup.h"

#include <doctest/doctest.h>

#include <malloc.h>
#include <stdlib.h>

#include <chrono>
#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::group;
using namespace std::chrono_literals;

namespace {

/// A folder that is removed at the end of the test.
class temporary_folder {
public:
    temporary_folder() { REQUIRE(mkdtemp(this->name.data()) != nullptr); }
    ~temporary_folder() { std::filesystem::remove_all(this->name); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] const std::string& path() const { return this->name; }

private:
    std::string name = "/tmp/kingcupcart-restore-XXXXXX";
};

std::size_t allocated_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace

// Guards against a member that ends by its memory limit each time it receives a large state: it
// held the received pieces beside the state that it read from them.
SCENARIO("a member that receives a snapshot does not hold it twice") {
    constexpr std::size_t piece_count = 100;
    constexpr std::size_t piece_size = 256UL * 1024;
    const temporary_folder folder;
    const system_clock time;
    task::event_loop loop;
    loop.enter();
    GIVEN("a member with an empty disk that receives pieces of 26 MB in all") {
        replicated_log::parameters arguments;
        arguments.local_id = instance_id("b");
        arguments.peers = {instance_id("a")};
        arguments.folder = folder.path();
        arguments.seed = 1;
        arguments.time = &time;
        std::size_t loaded = 0;
        std::size_t allocated_at_load = 0;
        bool is_intact = true;
        task::wakeup end([&] { loop.quit(); });
        replicated_log::callbacks notify;
        notify.send = [](const instance_id&, const quorum::message&) {};
        notify.clear_state = [&] { loaded = 0; };
        notify.load_piece = [&](std::string_view piece) -> outcome<void> {
            if (loaded == 0) {
                allocated_at_load = allocated_bytes();
            }
            const char content = static_cast<char>('a' + loaded % 26);
            is_intact = is_intact && piece == std::string(piece_size, content);
            ++loaded;
            return {};
        };
        notify.restored = [&] { end.arm_now(); };
        auto opened = value_or_error([&] { return replicated_log::open(arguments, notify); });
        REQUIRE(std::holds_alternative<std::unique_ptr<replicated_log>>(opened));
        replicated_log& log = *std::get<std::unique_ptr<replicated_log>>(opened);
        const std::size_t allocated_before = allocated_bytes();
        WHEN("the last piece arrives") {
            for (std::size_t i = 0; i < piece_count; ++i) {
                quorum::install_snapshot_request request;
                request.term = quorum::term_number(1);
                request.leader = {instance_id("a"), quorum::disk_id(1)};
                request.index = quorum::log_index(10);
                request.index_term = quorum::term_number(1);
                request.voters.voters = {request.leader};
                request.piece = i;
                request.piece_count = piece_count;
                request.data = std::string(piece_size, static_cast<char>('a' + i % 26));
                log.handle(request);
            }
            loop.run();
            THEN("every piece is loaded, and the received ones are released before") {
                CHECK(loaded == piece_count);
                CHECK(is_intact);
                CHECK(allocated_at_load < allocated_before + 8 * piece_size);
            }
        }
    }
    loop.leave();
}

// Guards against a member that ends by its memory limit some time after a restart: it held the log
// that it had read at its start beside the replica's.
SCENARIO("a member that starts again holds its log once") {
    constexpr std::size_t command_count = 40;
    constexpr std::size_t command_size = 256UL * 1024;
    const temporary_folder folder;
    const system_clock time;
    task::event_loop loop;
    loop.enter();
    GIVEN("a journal with commands of 10 MB in all") {
        replicated_log::parameters arguments;
        arguments.local_id = instance_id("a");
        arguments.folder = folder.path();
        arguments.may_bootstrap = true;
        arguments.time = &time;
        std::size_t applied = 0;
        task::wakeup end([&] { loop.quit(); });
        replicated_log::callbacks notify;
        notify.clear_state = [] {};
        notify.leadership_changed = [](bool) {};
        notify.apply = [&](const std::string&) {
            if (++applied == command_count) {
                end.arm_now();
            }
        };
        {
            auto opened = value_or_error([&] { return replicated_log::open(arguments, notify); });
            REQUIRE(std::holds_alternative<std::unique_ptr<replicated_log>>(opened));
            for (std::size_t i = 0; i < command_count; ++i) {
                const std::string command(command_size, 'c');
                REQUIRE(std::get<std::unique_ptr<replicated_log>>(opened)->propose(command));
            }
            loop.run();
        }
        WHEN("the member starts again") {
            const std::size_t allocated_before = allocated_bytes();
            auto opened = value_or_error([&] { return replicated_log::open(arguments, notify); });
            REQUIRE(std::holds_alternative<std::unique_ptr<replicated_log>>(opened));
            THEN("it holds every command, and no second copy") {
                const auto& log = std::get<std::unique_ptr<replicated_log>>(opened);
                CHECK(log->state().log_size() > command_count);
                CHECK(allocated_bytes() < allocated_before + command_count * command_size * 5 / 4);
            }
        }
    }
    loop.leave();
}
