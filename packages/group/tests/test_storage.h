#pragma once

#include "group/tests/test_disk.h"
#include "journal/storage.h"

namespace kingcupcart::group {

/// The file of a `test_disk`, as the storage of a journal.
class test_storage final : public journal::storage {
public:
    explicit test_storage(test_disk& disk) : disk(disk) {}

    outcome<std::string> read(std::size_t position, std::size_t size) override {
        if (this->disk.is_unreadable()) {
            return fail(error_code::storage_unavailable, "input/output error");
        }
        const std::string_view content = this->disk.content();
        return position < content.size() ? std::string(content.substr(position, size))
                                         : std::string();
    }
    outcome<void> append(std::string_view bytes) override {
        return check(this->disk.append(bytes));
    }
    outcome<void> sync() override { return check(this->disk.sync()); }
    outcome<void> replace(const source& next_chunk) override {
        std::string content;
        for (std::string chunk; next_chunk(chunk);) {
            content += chunk;
        }
        return check(this->disk.replace(content));
    }
    outcome<void> check_writable(std::size_t size) override {
        return check(this->disk.check_writable(size));
    }
    outcome<void> truncate(std::size_t size) override { return check(this->disk.truncate(size)); }

private:
    static outcome<void> check(bool is_accepted) {
        if (!is_accepted) {
            return fail(error_code::storage_unavailable, "no space left on device");
        }
        return {};
    }

    test_disk& disk;
};

} // namespace kingcupcart::group
