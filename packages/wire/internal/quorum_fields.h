#pragma once

#include "quorum/actions.h"
#include "quorum/messages.h"
#include "wire/internal/field_reader.h"

#include <nlohmann/json.hpp>

namespace kingcupcart::wire {

/// The parts that messages between keepers and journal records share.
[[nodiscard]] nlohmann::json write_bytes(const std::string& content);
[[nodiscard]] nlohmann::json write_membership(const quorum::membership& voters);
[[nodiscard]] nlohmann::json write_entries(const std::vector<quorum::log_entry>& entries);
[[nodiscard]] quorum::membership read_membership(field_reader& fields);
[[nodiscard]] std::vector<quorum::log_entry> read_entries(field_reader& fields);

/// A message between keepers as the fields after the message number.
void write_quorum(nlohmann::json& fields, const quorum::message& said);
[[nodiscard]] quorum::message read_quorum(field_reader& fields);

} // namespace kingcupcart::wire
