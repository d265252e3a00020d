#include "journal/disk_storage.h"
#include "journal/journal_file.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <functional>

using namespace kingcupcart;
using namespace kingcupcart::journal;

namespace {

/// A disk that can lose what was not synced, at any byte, and run full.
struct disk {
    std::string synced;
    std::string written;
    bool is_full = false;
};

class fake_storage final : public storage {
public:
    explicit fake_storage(disk& on) : on(on) {}

    outcome<std::string> read(std::size_t position, std::size_t size) override {
        return position < this->on.written.size() ? this->on.written.substr(position, size)
                                                  : std::string();
    }
    outcome<void> truncate(std::size_t size) override {
        this->on.written.resize(size);
        this->on.synced = this->on.written;
        return {};
    }
    outcome<void> append(std::string_view bytes) override {
        if (this->on.is_full) {
            return fail(error_code::input_output, "no space left on device");
        }
        this->on.written += bytes;
        return {};
    }
    outcome<void> sync() override {
        this->on.synced = this->on.written;
        return {};
    }
    outcome<void> replace(const source& next) override {
        if (this->on.is_full) {
            return fail(error_code::input_output, "no space left on device");
        }
        this->on.written.clear();
        for (std::string part; next(part);) {
            this->on.written += part;
        }
        this->on.synced = this->on.written;
        return {};
    }

private:
    disk& on;
};

/// A journal with the records that were found in it.
struct found_journal {
    std::unique_ptr<journal_file> file;
    std::vector<std::string> records;
    std::vector<std::size_t> positions;
    bool has_torn_tail = false;
};

std::variant<found_journal, error> open(std::unique_ptr<storage> on) {
    return value_or_error([&]() -> outcome<found_journal> {
        found_journal made;
        BOOST_LEAF_AUTO(opened, journal_file::open(std::move(on), [&](std::string_view record,
                                                                      std::size_t position) {
                            made.records.emplace_back(record);
                            made.positions.push_back(position);
                            return outcome<void>();
                        }));
        made.file = std::move(opened.file);
        made.has_torn_tail = opened.has_torn_tail;
        return made;
    });
}

std::variant<found_journal, error> open(disk& on) {
    return open(std::make_unique<fake_storage>(on));
}

found_journal open_well(disk& on) {
    auto found = open(on);
    REQUIRE(std::holds_alternative<found_journal>(found));
    return std::move(std::get<found_journal>(found));
}

/// The records of a list, one by one.
storage::source each_of(std::vector<std::string> records) {
    return [records = std::move(records), next = std::size_t{0}](std::string& record) mutable {
        if (next == records.size()) {
            return false;
        }
        record = records[next++];
        return true;
    };
}

bool is_kept(const std::function<outcome<void>()>& attempt) {
    return std::holds_alternative<std::monostate>(value_or_error(attempt));
}

} // namespace

SCENARIO("records last once they are synced") {
    disk on;
    auto first = open_well(on);
    CHECK(first.records.empty());
    for (const char* record : {"one", "two", "three"}) {
        CHECK(is_kept([&] { return first.file->append(record); }));
    }
    CHECK(is_kept([&] { return first.file->sync(); }));
    const std::vector<std::string> synced{"one", "two", "three"};
    CHECK(open_well(on).records == synced);
    GIVEN("a crash at any byte of what was not synced") {
        CHECK(is_kept([&] { return first.file->append("four, which is longer"); }));
        CHECK(is_kept([&] { return first.file->append("five"); }));
        for (std::size_t kept = on.synced.size(); kept <= on.written.size(); ++kept) {
            disk crashed{on.synced, on.written.substr(0, kept), false};
            const auto found = open_well(crashed);
            REQUIRE(found.records.size() >= 3);
            CHECK(std::vector<std::string>(found.records.begin(), found.records.begin() + 3) ==
                  synced);
            CHECK(found.records.size() <= 5);
            CHECK_FALSE(open_well(crashed).has_torn_tail);
        }
    }
    GIVEN("a flipped bit in the middle") {
        for (std::size_t byte = 0; byte < on.written.size() - 21; ++byte) {
            CAPTURE(byte);
            disk damaged = on;
            damaged.written[byte] = static_cast<char>(damaged.written[byte] ^ 0x10);
            const auto found = open(damaged);
            THEN("it is refused, never served") {
                CHECK(std::holds_alternative<error>(found));
            }
        }
    }
    GIVEN("a full disk") {
        on.is_full = true;
        CHECK_FALSE(is_kept([&] { return first.file->append("four"); }));
        CHECK(open_well(on).records == synced);
    }
    GIVEN("a rewrite") {
        CHECK(is_kept([&] { return first.file->rewrite(each_of({"all"})); }));
        CHECK(is_kept([&] { return first.file->append("more"); }));
        CHECK(open_well(on).records == std::vector<std::string>{"all", "more"});
    }
    GIVEN("records that are larger than what is read at once") {
        const std::string large(3UL << 20, 'x');
        CHECK(is_kept([&] { return first.file->append(large); }));
        CHECK(is_kept([&] { return first.file->append("after"); }));
        THEN("they are found whole") {
            const auto found = open_well(on);
            REQUIRE(found.records.size() == 5);
            CHECK(found.records[3] == large);
            CHECK(found.records[4] == "after");
            AND_THEN("each can be read again where it stands, and nothing elsewhere") {
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

SCENARIO("a data folder belongs to one keeper") {
    std::string pattern = (std::filesystem::temp_directory_path() / "kingcupcart-XXXXXX").string();
    const std::string folder = mkdtemp(pattern.data());
    const auto open_folder = [&] {
        return value_or_error([&] { return disk_storage::open(folder + "/data"); });
    };
    {
        auto held = open_folder();
        REQUIRE(std::holds_alternative<std::unique_ptr<disk_storage>>(held));
        CHECK(std::get<error>(open_folder()).code == error_code::conflict);
        auto opened = open(std::move(std::get<std::unique_ptr<disk_storage>>(held)));
        auto& file = *std::get<found_journal>(opened).file;
        CHECK(is_kept([&] { return file.append("kept"); }));
        CHECK(is_kept([&] { return file.sync(); }));
    }
    auto again = open_folder();
    const auto opened = open(std::move(std::get<std::unique_ptr<disk_storage>>(again)));
    CHECK(std::get<found_journal>(opened).records == std::vector<std::string>{"kept"});
    std::filesystem::remove_all(folder);
}
