#pragma once

namespace kingcupcart::daemon {

/// A component that runs until it is destroyed.
class running_part {
public:
    virtual ~running_part() = default;
    running_part() = default;
    running_part(const running_part&) = delete;
    running_part& operator=(const running_part&) = delete;
};

} // namespace kingcupcart::daemon
