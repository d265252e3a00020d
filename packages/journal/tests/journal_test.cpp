#include "base/stable_hash.h"
#include "journal/disk_storage.h"
#include "journal/journal_file.h"

#include <doctest/doctest.h>

#include <sys/resource.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <utility>

using namespace kingcupcart;
using namespace kingcupcart::journal;

namespace {

/// A disk that can lose any number of unsynced bytes, and be full.
struct disk {
    std::string synced;
    std::string written;
    bool is_full = false;
};

class fake_storage final : public storage {
public:
    explicit fake_storage(disk& device) : device(device) {}

    outcome<std::string> read(std::size_t position, std::size_t size) override {
        return position < this->device.written.size() ? this->device.written.substr(position, size)
                                                      : std::string();
    }
    outcome<void> truncate(std::size_t size) override {
        this->device.written.resize(size);
        this->device.synced = this->device.written;
        return {};
    }
    outcome<void> append(std::string_view bytes) override {
        if (this->device.is_full) {
            return fail(error_code::input_output, "no space left on device");
        }
        this->device.written += bytes;
        return {};
    }
    outcome<void> sync() override {
        this->device.synced = this->device.written;
        return {};
    }
    outcome<void> check_writable(std::size_t) override { return {}; }
    outcome<void> replace(const source& next_chunk) override {
        if (this->device.is_full) {
            return fail(error_code::input_output, "no space left on device");
        }
        this->device.written.clear();
        for (std::string chunk; next_chunk(chunk);) {
            this->device.written += chunk;
        }
        this->device.synced = this->device.written;
        return {};
    }

private:
    disk& device;
};

/// An open journal with the records that were read from it.
struct opened_journal {
    std::unique_ptr<journal_file> file;
    std::vector<std::string> records;
    std::vector<std::size_t> positions;
    bool has_torn_tail = false;
};

std::variant<opened_journal, error> open(std::unique_ptr<storage> backing_storage,
                                         std::size_t size_limit = journal_file::unlimited_size) {
    return value_or_error([&]() -> outcome<opened_journal> {
        opened_journal contents;
        BOOST_LEAF_AUTO(opened, journal_file::open(
                                    std::move(backing_storage),
                                    [&](std::string_view record, std::size_t position) {
                                        contents.records.emplace_back(record);
                                        contents.positions.push_back(position);
                                        return outcome<void>();
                                    },
                                    size_limit));
        contents.file = std::move(opened.file);
        contents.has_torn_tail = opened.has_torn_tail;
        return contents;
    });
}

std::variant<opened_journal, error> open(disk& device,
                                         std::size_t size_limit = journal_file::unlimited_size) {
    return open(std::make_unique<fake_storage>(device), size_limit);
}

opened_journal open_intact(disk& device, std::size_t size_limit = journal_file::unlimited_size) {
    auto opened = open(device, size_limit);
    REQUIRE(std::holds_alternative<opened_journal>(opened));
    return std::move(std::get<opened_journal>(opened));
}

/// Returns the records of a list, one per call.
storage::source source_of(std::vector<std::string> records) {
    return [records = std::move(records), next = std::size_t{0}](std::string& record) mutable {
        if (next == records.size()) {
            return false;
        }
        record = records[next++];
        return true;
    };
}

/// While it exists, this process can write no file beyond a size.
class file_size_limit {
public:
    explicit file_size_limit(rlim_t bytes) : previous_handler(std::signal(SIGXFSZ, SIG_IGN)) {
        getrlimit(RLIMIT_FSIZE, &this->previous);
        rlimit lowered = this->previous;
        lowered.rlim_cur = bytes;
        setrlimit(RLIMIT_FSIZE, &lowered);
    }
    ~file_size_limit() {
        setrlimit(RLIMIT_FSIZE, &this->previous);
        std::signal(SIGXFSZ, this->previous_handler);
    }
    file_size_limit(const file_size_limit&) = delete;
    file_size_limit& operator=(const file_size_limit&) = delete;

private:
    using handler = void (*)(int);

    rlimit previous{};
    handler previous_handler;
};

bool succeeds(const std::function<outcome<void>()>& attempt) {
    return std::holds_alternative<std::monostate>(value_or_error(attempt));
}

} // namespace

SCENARIO("records survive a crash once they are synced") {
    disk device;
    auto first = open_intact(device);
    CHECK(first.records.empty());
    for (const char* record : {"one", "two", "three"}) {
        CHECK(succeeds([&] { return first.file->append(record); }));
    }
    CHECK(succeeds([&] { return first.file->sync(); }));
    const std::size_t synced_size = device.synced.size();
    const std::vector<std::string> synced{"one", "two", "three"};
    CHECK(open_intact(device).records == synced);
    GIVEN("a crash that loses any number of unsynced bytes") {
        CHECK(succeeds([&] { return first.file->append("four, which is longer"); }));
        CHECK(succeeds([&] { return first.file->append("five"); }));
        for (std::size_t surviving = device.synced.size(); surviving <= device.written.size();
             ++surviving) {
            disk crashed{device.synced, device.written.substr(0, surviving), false};
            const auto found = open_intact(crashed);
            REQUIRE(found.records.size() >= 3);
            CHECK(std::vector<std::string>(found.records.begin(), found.records.begin() + 3) ==
                  synced);
            CHECK(found.records.size() <= 5);
            CHECK_FALSE(open_intact(crashed).has_torn_tail);
        }
    }
    GIVEN("a flipped bit in what was synced") {
        for (std::size_t byte = 0; byte < synced_size; ++byte) {
            CAPTURE(byte);
            disk damaged = device;
            damaged.written[byte] = static_cast<char>(damaged.written[byte] ^ 0x10);
            const auto found = open(damaged);
            THEN("opening the journal fails, and no damaged record is returned") {
                CHECK(std::holds_alternative<error>(found));
            }
        }
    }
    // Guards against a store that ended at each start after a loss of power: any later record was
    // taken as proof that the bytes before it had been synced.
    GIVEN("a crash that keeps some unsynced writes and loses earlier ones") {
        const std::size_t begin = device.written.size();
        CHECK(succeeds([&] { return first.file->append("four"); }));
        const std::size_t middle = device.written.size();
        CHECK(succeeds([&] { return first.file->append("five"); }));
        for (const auto& [lost_from, lost_to] :
             {std::pair{synced_size, begin}, std::pair{begin, middle},
              std::pair{begin + 3, begin + 9}, std::pair{synced_size + 5, middle}}) {
            CAPTURE(lost_from);
            disk crashed = device;
            std::fill(crashed.written.begin() + static_cast<std::ptrdiff_t>(lost_from),
                      crashed.written.begin() + static_cast<std::ptrdiff_t>(lost_to), '\0');
            THEN("the journal opens with all synced records") {
                const auto found = open_intact(crashed);
                REQUIRE(found.records.size() >= 3);
                CHECK(std::vector<std::string>(found.records.begin(), found.records.begin() + 3) ==
                      synced);
                AND_THEN("it takes new records, which survive the next crash") {
                    CHECK(succeeds([&] { return found.file->append("six"); }));
                    CHECK(succeeds([&] { return found.file->sync(); }));
                    CHECK(open_intact(crashed).records.back() == "six");
                }
            }
        }
    }
    GIVEN("a sync mark that was copied behind unsynced writes") {
        const std::string mark = device.written.substr(synced_size);
        CHECK(succeeds([&] { return first.file->append("four"); }));
        disk crashed = device;
        crashed.written[synced_size + mark.size() + 17] ^= 0x10;
        crashed.written += mark;
        THEN("it proves nothing, since it names another position") {
            CHECK(open_intact(crashed).records == synced);
        }
    }
    GIVEN("an earlier process whose last records were not synced") {
        CHECK(succeeds([&] { return first.file->append("four"); }));
        THEN("they are synced by the time that they are read") {
            CHECK(open_intact(device).records.size() == 4);
            CHECK(device.synced == device.written);
        }
    }
    GIVEN("a size up to which the disk is known to hold the file") {
        const std::size_t trusted = first.file->synced_size();
        CHECK(succeeds([&] { return first.file->append("four"); }));
        THEN("what lies beyond it is neither read nor kept") {
            const auto found = open_intact(device, trusted);
            CHECK(found.records == synced);
            CHECK(device.written.size() == trusted);
        }
    }
    GIVEN("a journal of the format before sync marks") {
        disk older;
        auto journal = open_intact(older);
        older.written.replace(older.written.find("journal 3"), 9, "journal 2");
        // The checksum of "kingcupcart journal 2".
        const std::uint64_t checksum = stable_hash("kingcupcart journal 2");
        older.written.replace(
            8, sizeof checksum,
            std::string(reinterpret_cast<const char*>(&checksum), sizeof checksum));
        older.written.resize(older.written.find("journal 2") + 9);
        journal = open_intact(older);
        for (const char* record : {"one", "two"}) {
            CHECK(succeeds([&] { return journal.file->append(record); }));
        }
        CHECK(succeeds([&] { return journal.file->sync(); }));
        THEN("its records are read, and damage before the last one is refused") {
            CHECK(open_intact(older).records == std::vector<std::string>{"one", "two"});
            disk damaged = older;
            damaged.written[older.written.find("one")] ^= 0x10;
            CHECK(std::holds_alternative<error>(open(damaged)));
        }
        THEN("a rewrite brings it to the current format") {
            CHECK(succeeds([&] { return journal.file->rewrite(source_of({"all"})); }));
            CHECK(older.written.find("journal 3") != std::string::npos);
            CHECK(open_intact(older).records == std::vector<std::string>{"all"});
        }
    }
    GIVEN("a full disk") {
        device.is_full = true;
        CHECK_FALSE(succeeds([&] { return first.file->append("four"); }));
        CHECK(open_intact(device).records == synced);
    }
    GIVEN("a rewrite") {
        CHECK(succeeds([&] { return first.file->rewrite(source_of({"all"})); }));
        CHECK(succeeds([&] { return first.file->append("more"); }));
        CHECK(open_intact(device).records == std::vector<std::string>{"all", "more"});
    }
    GIVEN("a record that is larger than one read") {
        const std::string large(3UL << 20, 'x');
        CHECK(succeeds([&] { return first.file->append(large); }));
        CHECK(succeeds([&] { return first.file->append("after"); }));
        THEN("all records are read intact") {
            const auto found = open_intact(device);
            REQUIRE(found.records.size() == 5);
            CHECK(found.records[3] == large);
            CHECK(found.records[4] == "after");
            AND_THEN("each record can be read again at its position, and a read at another "
                     "position fails") {
                for (std::size_t i = 0; i < found.records.size(); ++i) {
                    const auto again =
                        value_or_error([&] { return found.file->read(found.positions[i]); });
                    CHECK(std::get<std::string>(again) == found.records[i]);
                }
                const auto wrong =
                    value_or_error([&] { return found.file->read(found.positions[1] + 1); });
                CHECK(std::holds_alternative<error>(wrong));
            }
        }
    }
}

SCENARIO("a data folder is locked by one process at a time") {
    std::string pattern = (std::filesystem::temp_directory_path() / "kingcupcart-XXXXXX").string();
    const std::string folder = mkdtemp(pattern.data());
    const auto open_folder = [&] {
        return value_or_error([&] { return disk_storage::open(folder + "/data"); });
    };
    {
        auto locked = open_folder();
        REQUIRE(std::holds_alternative<std::unique_ptr<disk_storage>>(locked));
        CHECK(std::get<error>(open_folder()).code == error_code::conflict);
        auto opened = open(std::move(std::get<std::unique_ptr<disk_storage>>(locked)));
        auto& file = *std::get<opened_journal>(opened).file;
        CHECK(succeeds([&] { return file.append("kept"); }));
        CHECK(succeeds([&] { return file.sync(); }));
    }
    auto again = open_folder();
    const auto opened = open(std::move(std::get<std::unique_ptr<disk_storage>>(again)));
    CHECK(std::get<opened_journal>(opened).records == std::vector<std::string>{"kept"});
    std::filesystem::remove_all(folder);
}

// Guards against a member that stayed out of its group for 30 s, as with a damaged journal, after
// an error number other than ENOSPC, EDQUOT and EIO.
SCENARIO("a refused system call is an unavailable disk, whatever its error number") {
    std::string pattern = (std::filesystem::temp_directory_path() / "kingcupcart-XXXXXX").string();
    const std::string folder = mkdtemp(pattern.data());
    const auto code_of = [](const std::function<outcome<void>()>& attempt) {
        const auto result = value_or_error(attempt);
        const auto* problem = std::get_if<error>(&result);
        return problem == nullptr ? std::nullopt : std::optional(problem->code);
    };
    GIVEN("a file that must not grow beyond a size") {
        auto opened = value_or_error([&] { return disk_storage::open(folder); });
        auto& disk = *std::get<std::unique_ptr<disk_storage>>(opened);
        constexpr std::size_t size = 1000;
        REQUIRE(succeeds([&] { return disk.append(std::string(size, 'x')); }));
        const auto append_more = [&] { return disk.append("more"); };
        {
            const file_size_limit limit(size);
            CHECK(code_of(append_more) == error_code::storage_unavailable);
            CHECK(code_of([&] { return disk.check_writable(1); }) ==
                  error_code::storage_unavailable);
            CHECK(code_of([&] {
                      return disk.replace([](std::string& chunk) {
                          chunk.assign(size + 1, 'x');
                          return true;
                      });
                  }) == error_code::storage_unavailable);
        }
        THEN("it takes appends again once the limit is lifted, and kept its content") {
            CHECK(succeeds(append_more));
            const auto content = value_or_error([&] { return disk.read(0, 2 * size); });
            CHECK(std::get<std::string>(content) == std::string(size, 'x') + "more");
        }
    }
    // A probe of a few bytes in another file passed while each append was refused.
    GIVEN("a file that takes small appends, and refuses larger ones") {
        auto opened = value_or_error([&] { return disk_storage::open(folder); });
        auto& disk = *std::get<std::unique_ptr<disk_storage>>(opened);
        constexpr std::size_t size = 10000;
        constexpr std::size_t large = 3UL << 20;
        REQUIRE(succeeds([&] { return disk.append(std::string(size, 'x')); }));
        {
            const file_size_limit limit(size + large);
            CHECK(succeeds([&] { return disk.check_writable(1); }));
            CHECK(succeeds([&] { return disk.check_writable(large); }));
            CHECK(code_of([&] { return disk.check_writable(large + 1); }) ==
                  error_code::storage_unavailable);
        }
        THEN("no check changes its content") {
            const auto content = value_or_error([&] { return disk.read(0, 2 * size); });
            CHECK(std::get<std::string>(content) == std::string(size, 'x'));
        }
    }
    GIVEN("a data folder whose path leads through a file") {
        std::ofstream(folder + "/file") << "content";
        CHECK(code_of([&]() -> outcome<void> {
                  BOOST_LEAF_CHECK(disk_storage::open(folder + "/file/data"));
                  return {};
              }) == error_code::storage_unavailable);
    }
    GIVEN("a journal whose path is taken by a folder") {
        std::filesystem::create_directory(folder + "/journal");
        auto opened = value_or_error([&] { return disk_storage::open(folder); });
        auto& disk = *std::get<std::unique_ptr<disk_storage>>(opened);
        CHECK(code_of([&]() -> outcome<void> {
                  BOOST_LEAF_CHECK(disk.read(0, 1));
                  return {};
              }) == error_code::storage_unavailable);
        CHECK(code_of([&] { return disk.append("x"); }) == error_code::storage_unavailable);
        CHECK(code_of([&] { return disk.replace([](std::string&) { return false; }); }) ==
              error_code::storage_unavailable);
        THEN("a replacement that can't be renamed leaves no file behind") {
            CHECK_FALSE(std::filesystem::exists(folder + "/journal.new"));
        }
    }
    std::filesystem::remove_all(folder);
}
