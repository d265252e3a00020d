#pragma once

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/location.h"
#include "base/outcome.h"
#include "base/response_limits.h"
#include "settings/control_settings.h"
#include "settings/duty_settings.h"
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
    /// Listening address for callers, and for targets that announce themselves.
    endpoint callers;
    /// Listening address for links from other instances.
    endpoint address;
    /// Some entry instances of this failure domain; the others are discovered through them.
    std::vector<endpoint> peers;
    /// Link addresses of the keepers.
    std::vector<endpoint> keepers;
    /// A target expires this long after its last announcement.
    duration target_lease = std::chrono::seconds(6);
    /// Largest request body accepted from a caller, in bytes.
    std::int64_t body_limit = std::int64_t{8} * 1024 * 1024;
    /// How long a response is retained for retries with the same idempotency key.
    duration key_lifetime = std::chrono::minutes(10);
};

/// Settings of the keeper role.
struct keeper_settings {
    /// Listening address for links from other instances.
    endpoint address;
    /// Data folder; used by one keeper only.
    std::string data;
    /// The other keepers, each as `id@address:port`.
    std::vector<std::string> members;
    /// Bootstraps a new deployment if the data folder is empty. Set from the command line, once, on
    /// one keeper only.
    bool may_bootstrap = false;
    /// File with the deployment configuration that is applied if none is stored yet; may be empty.
    std::string initial_configuration;
    /// Set if the keeper serves a fleet's control calls; `members` is empty then.
    std::optional<control_settings> control;
};

/// Settings of one `kingcupcartd` process.
struct process_settings {
    instance_id instance;
    location place;
    /// Listening address for operators and metrics scrapers.
    endpoint admin;
    std::optional<entry_settings> entry;
    std::optional<keeper_settings> keeper;
    std::optional<gateway_settings> gateway;
    std::optional<store_settings> store;
    /// Empty if the settings name no platform API; the duties are then off.
    std::optional<duty_settings> duties;
    /// Limits of the responses that this process reads from targets.
    response_limits responses;
    telemetry::log_format format = telemetry::log_format::text;
    telemetry::log_stream log_stream = telemetry::log_stream::standard_error;
    std::string log_level = "info";
    /// How long a planned stop continues to accept requests after it reports not ready, so that
    /// load balancers notice.
    duration stop_grace = std::chrono::seconds(2);
    /// How long a planned stop waits for running work before it aborts it.
    duration stop_limit = std::chrono::minutes(10);
    /// The supervisor kills the process this long after the signal for a planned stop; zero if it
    /// does not. `stop_grace` and `stop_limit` are shortened to fit into it.
    duration kill_after{};

    /// Validates the whole document, including unknown groups and keys.
    static outcome<process_settings> read(const ini_document& document);
    static outcome<process_settings> load(const std::string& path);
};

} // namespace kingcupcart::settings
