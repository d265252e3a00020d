#pragma once

#include <glib-object.h>

#include <utility>

namespace kingcupcart::task {

/// Owns one reference to a GObject.
template <typename Object>
class g_pointer {
public:
    g_pointer() = default;
    /// Takes ownership of the caller's reference.
    explicit g_pointer(Object* owned) : object(owned) {}
    /// Adds a reference; the caller keeps its own.
    static g_pointer share(Object* borrowed) {
        return g_pointer(static_cast<Object*>(g_object_ref(borrowed)));
    }

    g_pointer(g_pointer&& other) noexcept : object(std::exchange(other.object, nullptr)) {}
    g_pointer& operator=(g_pointer&& other) noexcept {
        std::swap(this->object, other.object);
        return *this;
    }
    g_pointer(const g_pointer&) = delete;
    g_pointer& operator=(const g_pointer&) = delete;
    ~g_pointer() { g_clear_object(&this->object); }

    [[nodiscard]] Object* get() const { return this->object; }
    explicit operator bool() const { return this->object != nullptr; }

private:
    Object* object = nullptr;
};

} // namespace kingcupcart::task
