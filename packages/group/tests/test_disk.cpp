#include "group/tests/test_disk.h"

#include <algorithm>

namespace kingcupcart::group {

bool test_disk::accepts_call() {
    ++this->call_count;
    const bool accepts = !this->full && this->call_count != this->refused_call;
    this->refused = this->refused || !accepts;
    return accepts;
}

std::size_t test_disk::draw(std::size_t most) {
    return static_cast<std::size_t>(this->random() % (most + 1));
}

bool test_disk::append(std::string_view bytes) {
    const bool is_accepted =
        this->accepts_call() && bytes.size() <= this->max_append && !this->refuses_appends;
    // A write that is refused may have been carried out in part.
    const std::string_view written =
        is_accepted ? bytes : bytes.substr(0, this->full ? 0 : this->draw(bytes.size()));
    this->unsynced.push_back({this->cache.size(), this->cache.size() + written.size()});
    this->cache += written;
    return is_accepted;
}

bool test_disk::sync() {
    if (!this->accepts_call()) {
        this->dropped.insert(this->dropped.end(), this->unsynced.begin(), this->unsynced.end());
        this->unsynced.clear();
        return false;
    }
    this->durable = this->cache;
    for (const range& lost : this->dropped) {
        std::fill(this->durable.begin() + static_cast<std::ptrdiff_t>(lost.begin),
                  this->durable.begin() + static_cast<std::ptrdiff_t>(lost.end), '\0');
    }
    this->unsynced.clear();
    return true;
}

bool test_disk::truncate(std::size_t size) {
    this->cache.resize(size);
    const auto cut = [size](std::vector<range>& ranges) {
        for (range& part : ranges) {
            part.begin = std::min(part.begin, size);
            part.end = std::min(part.end, size);
        }
    };
    cut(this->unsynced);
    cut(this->dropped);
    return this->sync();
}

bool test_disk::replace(const std::string& content) {
    if (!this->accepts_call()) {
        return false;
    }
    this->cache = content;
    this->durable = content;
    this->unsynced.clear();
    this->dropped.clear();
    return true;
}

void test_disk::lose_power() {
    std::string found = this->durable;
    for (const range& write : this->unsynced) {
        enum class fate : std::size_t { missing, torn, present };
        const auto drawn = static_cast<fate>(this->draw(2));
        std::size_t end = drawn == fate::present ? write.end : write.begin;
        if (drawn == fate::torn) {
            end += this->draw(write.end - write.begin);
        }
        if (end > write.begin) {
            found.resize(std::max(found.size(), end), '\0');
            std::copy(this->cache.begin() + static_cast<std::ptrdiff_t>(write.begin),
                      this->cache.begin() + static_cast<std::ptrdiff_t>(end),
                      found.begin() + static_cast<std::ptrdiff_t>(write.begin));
        }
    }
    this->cache = found;
    this->durable = found;
    this->unsynced.clear();
    this->dropped.clear();
}

} // namespace kingcupcart::group
