#pragma once

#include <string>

namespace kingcupcart::batch {

/// A request to a grading service. The signature of its successful response is an item's score.
struct score_request {
    /// The identifier that the request carries.
    std::string name;
    /// Host and path select the route.
    std::string host;
    std::string path;
    std::string body;

    friend bool operator==(const score_request&, const score_request&) = default;
};

} // namespace kingcupcart::batch
