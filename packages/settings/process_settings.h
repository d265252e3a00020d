#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/location.h"
#include "base/outcome.h"
#include "settings/control_settings.h"
#include "settings/gateway_settings.h"
#include "settings/store_settings.h"
#include "telemetry/log_format.h"
#include "telemetry/log_stream.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace kingcupcart::settings {

class ini_document;

/// Settings of the entry role.
struct entry_settings {
    /// Where callers and announcing targets connect.
    endpoint callers;
    /// Where other instances connect.
    endpoint address;
    /// Entry instances of this failure domain to begin with; the others are learnt from them.
    std::vector<endpoint> peers;
    std::vector<endpoint> keepers;
    /// How long a target lives after its last announcement.
    duration target_lease = std::chrono::seconds(6);
    /// Largest request body taken from a caller, in bytes.
    std::int64_t body_limit = std::int64_t{8} * 1024 * 1024;
    /// How long an outcome is kept for a resend with the same idempotency key.
    duration key_time = std::chrono::minutes(10);
};

/// Settings of the keeper role.
struct keeper_settings {
    /// Where other instances connect.
    endpoint address;
    /// Folder of the keeper's state; one keeper owns it.
    std::string data;
    /// The other keepers, by identifier and address, as `id@address:port`.
    std::vector<std::string> members;
    /// Begin a new deployment where the data folder is empty: from the command line, once, on one
    /// keeper only.
    bool may_bootstrap = false;
    /// Deployment configuration to begin with, where the state holds none; may be empty.
    std::string initial_configuration;
    /// Set where the keeper serves the control of a fleet; `members` is empty then.
    std::optional<control_settings> control;
};

/// Settings of one `kingcupcartd` process.
struct process_settings {
    instance_id instance;
    location place;
    /// Where operators and scrapers connect.
    endpoint admin;
    std::optional<entry_settings> entry;
    std::optional<keeper_settings> keeper;
    std::optional<gateway_settings> gateway;
    std::optional<store_settings> store;
    telemetry::log_format format = telemetry::log_format::text;
    telemetry::log_stream log_stream = telemetry::log_stream::standard_error;
    std::string log_level = "info";
    /// How long a planned stop goes on serving after readiness has gone, for balancers to notice.
    duration stop_grace = std::chrono::seconds(2);
    /// How long a planned stop waits for running work.
    duration stop_limit = std::chrono::minutes(10);

    static outcome<process_settings> read(const ini_document& document);
    static outcome<process_settings> load(const std::string& path);
};

} // namespace kingcupcart::settings
