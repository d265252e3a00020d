#pragma once

#include "base/endpoint.h"
#include "base/outcome.h"
#include "http/request.h"

#include <string>

namespace kingcupcart::http {

/// A request as the bytes that are written to a connection.
struct encoded_request {
    endpoint server;
    std::string bytes;
};

/// Encodes the request. Path and query are written byte for byte as given. Fields that frame the
/// message or concern one connection only are written by the encoder itself, and skipped in
/// `request::headers`. Fails with `invalid_input` if the URL, the method or a header field can't be
/// sent as given.
[[nodiscard]] outcome<encoded_request> encode(const request& outgoing);

} // namespace kingcupcart::http
