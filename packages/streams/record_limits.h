#pragma once

#include <chrono>
#include <cstddef>

namespace kingcupcart::streams {

/// Records that a keeper holds at most: what 8,800 streams a second leave at each of six keepers
/// within 45 s, and an eighth more.
inline constexpr std::size_t max_keeper_records = 150'000;
/// Records that a gateway holds at most: what 8,800 streams a second leave at each of nine gateways
/// within 45 s.
inline constexpr std::size_t max_gateway_records = 45'000;
/// Identifiers are chosen by callers. Streams with a longer one are not recorded, in bytes.
inline constexpr std::size_t max_stream_id_bytes = 128;
/// Time for which a record is kept after the stream's last possible event, so that its caller can
/// return.
inline constexpr std::chrono::milliseconds return_margin = std::chrono::seconds(30);
/// No record is kept for longer.
inline constexpr std::chrono::milliseconds max_record_lifetime = std::chrono::hours(24);
/// Keepers that hold each record.
inline constexpr std::size_t holders_per_record = 2;
/// Time after which a lookup asks the other keepers too; longer than a round trip between regions.
inline constexpr std::chrono::milliseconds likely_answer_time{100};
/// Time after which a lookup without an answer ends.
inline constexpr std::chrono::milliseconds max_lookup_time{300};

} // namespace kingcupcart::streams
