#pragma once

#include "wire/codec.h"
#include "wire/messages.h"

#include <memory>
#include <string>

namespace kingcupcart::wire {

/// A message in its encoded form, for one that is sent over many links. Copies share the bytes.
class encoded_message {
public:
    explicit encoded_message(const message& content)
        : content(std::make_shared<const std::string>(encode(content))) {}

    [[nodiscard]] const std::string& bytes() const { return *this->content; }

private:
    std::shared_ptr<const std::string> content;
};

} // namespace kingcupcart::wire
