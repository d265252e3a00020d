#pragma once

#include "quorum/actions.h"
#include "quorum/messages.h"
#include "wire/internal/field_reader.h"

#include <nlohmann/json.hpp>

namespace kingcupcart::wire {

/// The encodings that consensus messages and journal records share.
[[nodiscard]] nlohmann::json write_bytes(const std::string& content);
[[nodiscard]] nlohmann::json write_membership(const quorum::membership& voters);
[[nodiscard]] nlohmann::json write_entries(const std::vector<quorum::log_entry>& entries);
[[nodiscard]] quorum::membership read_membership(field_reader& fields);
[[nodiscard]] std::vector<quorum::log_entry> read_entries(field_reader& fields);

/// Writes a consensus message as the fields that follow the message number.
void write_quorum_message(nlohmann::json& fields, const quorum::message& outgoing);
[[nodiscard]] quorum::message read_quorum_message(field_reader& fields);

} // namespace kingcupcart::wire
