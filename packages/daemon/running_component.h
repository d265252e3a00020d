#pragma once

namespace kingcupcart::daemon {

/// A component that runs until it is destroyed.
class running_component {
public:
    virtual ~running_component() = default;
    running_component() = default;
    running_component(const running_component&) = delete;
    running_component& operator=(const running_component&) = delete;
};

} // namespace kingcupcart::daemon
