#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace kingcupcart::group {

/// A disk with one file, which can be full, refuse single calls, and lose power. As on a real
/// machine, reads come from the page cache; a sync that fails drops the bytes that it was to write,
/// while the page cache shows them as clean from then on.
class test_disk {
public:
    explicit test_disk(std::uint64_t seed) : random(seed) {}

    void set_full(bool full) { this->full = full; }
    /// Refuses appends of more than `bytes` from now on.
    void refuse_larger_appends(std::size_t bytes) { this->max_append = bytes; }
    /// Refuses all appends, although the check for whether the disk takes writes passes.
    void refuse_appends_unnoticed(bool refuses) { this->refuses_appends = refuses; }
    void set_unreadable(bool unreadable) { this->unreadable = unreadable; }
    /// Refuses the call with this number, counted from 1.
    void refuse_call(std::size_t number) { this->refused_call = number; }
    [[nodiscard]] std::size_t calls() const { return this->call_count; }
    /// Whether any call was refused.
    [[nodiscard]] bool has_refused() const { return this->refused; }

    /// Each returns false if the disk refuses the call.
    [[nodiscard]] bool append(std::string_view bytes);
    [[nodiscard]] bool sync();
    [[nodiscard]] bool truncate(std::size_t size);
    [[nodiscard]] bool replace(const std::string& content);
    [[nodiscard]] bool check_writable(std::size_t size) {
        return this->accepts_call() && size <= this->max_append;
    }
    [[nodiscard]] bool is_unreadable() const { return this->unreadable; }
    [[nodiscard]] std::string_view content() const { return this->cache; }

    /// Writes since the last sync are present, missing or torn, each by itself.
    void lose_power();

private:
    struct range {
        std::size_t begin = 0;
        std::size_t end = 0;
    };

    [[nodiscard]] bool accepts_call();
    /// Random number from 0 to `most`.
    [[nodiscard]] std::size_t draw(std::size_t most);

    std::mt19937_64 random;
    std::string cache;
    std::string durable;
    std::vector<range> unsynced;
    /// Bytes that a failed sync dropped.
    std::vector<range> dropped;
    std::size_t call_count = 0;
    std::optional<std::size_t> refused_call;
    std::size_t max_append = std::numeric_limits<std::size_t>::max();
    bool refuses_appends = false;
    bool full = false;
    bool unreadable = false;
    bool refused = false;
};

} // namespace kingcupcart::group
