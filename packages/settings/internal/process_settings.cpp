#include "settings/process_settings.h"

#include "settings/ini_document.h"
#include "settings/ini_section.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <system_error>

namespace kingcupcart::settings {

namespace {

/// Bounds of the limits of a response's head, interim responses and chunk extensions, in bytes.
constexpr std::int64_t min_response_limit = 1024;
constexpr std::int64_t max_response_limit = std::int64_t{16} * 1024 * 1024;
/// The grace period is at most one part in `stop_grace_share` of the time until the process is
/// killed.
constexpr int stop_grace_share = 3;
/// A planned stop ends this long before the process would be killed.
constexpr duration kill_margin = std::chrono::milliseconds(500);
/// Bounds of the memory that a process may use, in megabytes.
constexpr double min_memory_mb = 16;
constexpr double max_memory_mb = 1024.0 * 1024;
constexpr double bytes_per_megabyte = 1000.0 * 1000;
/// The responses in progress may use a fraction of 1 / `response_memory_share` of the memory: a
/// buffer that grows needs up to three times its content, and the rest of the process needs memory,
/// too.
constexpr double response_memory_share = 5;
constexpr std::int64_t max_body_limit = std::int64_t{1024} * 1024 * 1024;

outcome<entry_settings> read_entry(const ini_document& document) {
    ini_section section(document, "entry");
    entry_settings settings;
    BOOST_LEAF_ASSIGN(settings.callers, section.address("callers"));
    BOOST_LEAF_ASSIGN(settings.address, section.address("address"));
    BOOST_LEAF_ASSIGN(settings.peers, section.addresses("peers"));
    BOOST_LEAF_ASSIGN(settings.keepers, section.addresses("keepers"));
    BOOST_LEAF_ASSIGN(
        settings.target_lease,
        section.duration_or("target-lease", settings.target_lease,
                            {std::chrono::milliseconds(200), std::chrono::minutes(5)}));
    BOOST_LEAF_ASSIGN(settings.body_limit, section.integer_or("body-limit", settings.body_limit,
                                                              {1024, max_body_limit}));
    BOOST_LEAF_ASSIGN(settings.key_lifetime,
                      section.duration_or("key-time", settings.key_lifetime,
                                          {std::chrono::seconds(1), std::chrono::hours(48)}));
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return settings;
}

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_tolerated_losses = 4;
constexpr std::int64_t max_local_runs = 100000;
constexpr std::int64_t max_relayed_calls = 100000;
/// Twice the interval of keepalives: the last sign of life of a sound keeper may be that old.
constexpr duration min_revoke_time = std::chrono::seconds(1);

outcome<fleet_settings> read_fleet(ini_section& section) {
    fleet_settings settings;
    BOOST_LEAF_ASSIGN(settings.seeds, section.addresses("seeds"));
    BOOST_LEAF_AUTO(port, section.integer_or("link-port", 0, {0, max_port}));
    settings.link_port = static_cast<std::uint16_t>(port);
    return settings;
}

outcome<std::size_t> read_tolerated_losses(ini_section& section) {
    BOOST_LEAF_AUTO(losses, section.integer_or("tolerated-losses", 1, {0, max_tolerated_losses}));
    return static_cast<std::size_t>(losses);
}

outcome<gateway_settings> read_gateway(const ini_document& document) {
    ini_section section(document, "gateway");
    gateway_settings settings;
    BOOST_LEAF_ASSIGN(settings.fleet, read_fleet(section));
    BOOST_LEAF_ASSIGN(settings.callers, section.address("callers"));
    BOOST_LEAF_ASSIGN(settings.ready, section.address("ready"));
    BOOST_LEAF_ASSIGN(settings.address, section.optional_address("address"));
    BOOST_LEAF_AUTO(relayed_calls,
                    section.integer_or("relayed-calls",
                                       static_cast<std::int64_t>(settings.relayed_calls),
                                       {0, max_relayed_calls}));
    settings.relayed_calls = static_cast<std::size_t>(relayed_calls);
    BOOST_LEAF_ASSIGN(settings.body_limit, section.integer_or("body-limit", settings.body_limit,
                                                              {1024, max_body_limit}));
    BOOST_LEAF_ASSIGN(
        settings.response_limit,
        section.integer_or("response-limit", settings.response_limit, {1024, max_body_limit}));
    BOOST_LEAF_ASSIGN(settings.revocation.revoke_time,
                      section.duration_or("revoke-time", settings.revocation.revoke_time,
                                          {min_revoke_time, std::chrono::hours(24)}));
    BOOST_LEAF_ASSIGN(settings.revocation.is_fail_closed,
                      section.boolean_or("fail-closed", settings.revocation.is_fail_closed));
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return settings;
}

outcome<store_settings> read_store(const ini_document& document) {
    ini_section section(document, "store");
    store_settings settings;
    BOOST_LEAF_ASSIGN(settings.fleet, read_fleet(section));
    BOOST_LEAF_ASSIGN(settings.address, section.address("address"));
    BOOST_LEAF_ASSIGN(settings.data, section.text("data"));
    BOOST_LEAF_ASSIGN(settings.is_first_start, section.boolean_or("first-start", false));
    BOOST_LEAF_ASSIGN(settings.tolerated_losses, read_tolerated_losses(section));
    BOOST_LEAF_ASSIGN(settings.retention,
                      section.duration_or("retention", settings.retention,
                                          {std::chrono::seconds(1), std::chrono::hours(48)}));
    BOOST_LEAF_AUTO(local_runs,
                    section.integer_or("local-runs", static_cast<std::int64_t>(settings.local_runs),
                                       {0, max_local_runs}));
    settings.local_runs = static_cast<std::size_t>(local_runs);
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return settings;
}

outcome<std::optional<control_settings>> read_control(ini_section& section) {
    BOOST_LEAF_AUTO(address, section.optional_address("control"));
    if (!address) {
        return std::nullopt;
    }
    control_settings settings;
    settings.address = *address;
    BOOST_LEAF_ASSIGN(settings.fleet, read_fleet(section));
    BOOST_LEAF_ASSIGN(settings.is_first_start, section.boolean_or("first-start", false));
    BOOST_LEAF_ASSIGN(settings.tolerated_losses, read_tolerated_losses(section));
    BOOST_LEAF_ASSIGN(settings.order_lease, section.duration_or("order-lease", settings.order_lease,
                                                                {std::chrono::milliseconds(100),
                                                                 std::chrono::minutes(1)}));
    BOOST_LEAF_ASSIGN(
        settings.target_lease,
        section.duration_or("target-lease", settings.target_lease,
                            {std::chrono::milliseconds(200), std::chrono::minutes(5)}));
    return std::optional(settings);
}

outcome<keeper_settings> read_keeper(const ini_document& document) {
    ini_section section(document, "keeper");
    keeper_settings settings;
    BOOST_LEAF_ASSIGN(settings.address, section.address("address"));
    BOOST_LEAF_ASSIGN(settings.data, section.text("data"));
    BOOST_LEAF_ASSIGN(settings.members, section.list("members"));
    for (const std::string& member : settings.members) {
        const auto at = member.find('@');
        const bool has_address = at != std::string::npos && at > 0 &&
                                 std::holds_alternative<endpoint>(value_or_error(
                                     [&] { return parse_endpoint(member.substr(at + 1)); }));
        if (!has_address) {
            return section.fail_at(
                "members", "'" + member + "' is not ID@ADDRESS:PORT, such as k1@127.0.0.1:7000");
        }
    }
    BOOST_LEAF_ASSIGN(settings.initial_configuration, section.text_or("initial-configuration", ""));
    BOOST_LEAF_ASSIGN(settings.control, read_control(section));
    if (settings.control && !settings.members.empty()) {
        return section.fail_at(
            "members",
            "must be empty if 'control' is set: the other keepers are found through 'seeds'");
    }
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return settings;
}

constexpr double min_duty_calls = 0.1;
constexpr double max_duty_calls = 100000;

outcome<std::optional<duty_settings>> read_duties(const ini_document& document) {
    ini_section section(document, "duties");
    duty_settings settings;
    BOOST_LEAF_AUTO(platform, section.optional_address("platform"));
    BOOST_LEAF_AUTO(duties, section.list("carry-out"));
    for (const std::string& duty : duties) {
        if (duty == "usage") {
            settings.reports_usage = true;
        } else if (duty == "autoscale") {
            settings.scales_replicas = true;
        } else {
            return section.fail_at("carry-out", "'" + duty + "' is not one of usage, autoscale");
        }
    }
    BOOST_LEAF_ASSIGN(settings.calls_per_second,
                      section.decimal_or("calls-per-second", settings.calls_per_second,
                                         {min_duty_calls, max_duty_calls}));
    BOOST_LEAF_AUTO(window,
                    section.duration_or("usage-window", settings.usage_window,
                                        {std::chrono::milliseconds(100), std::chrono::hours(1)}));
    settings.usage_window = std::chrono::duration_cast<std::chrono::milliseconds>(window);
    BOOST_LEAF_AUTO(late,
                    section.duration_or("usage-late", settings.usage_late,
                                        {std::chrono::milliseconds(100), std::chrono::hours(1)}));
    settings.usage_late = std::chrono::duration_cast<std::chrono::milliseconds>(late);
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    if (!platform) {
        return std::nullopt;
    }
    settings.platform = *platform;
    return std::optional(settings);
}

/// Shortens the times of a planned stop so that it ends before the supervisor kills the process.
void fit_stop_times(process_settings& settings) {
    if (settings.kill_after == duration::zero()) {
        return;
    }
    settings.stop_grace = std::min(settings.stop_grace, settings.kill_after / stop_grace_share);
    settings.stop_limit = std::clamp(settings.kill_after - settings.stop_grace - kill_margin,
                                     duration::zero(), settings.stop_limit);
}

outcome<void> read_log(const ini_document& document, process_settings& settings) {
    ini_section section(document, "log");
    BOOST_LEAF_AUTO(format, section.choice_or("format", "text", {"text", "json"}));
    settings.format = format == "json" ? telemetry::log_format::json : telemetry::log_format::text;
    BOOST_LEAF_AUTO(stream, section.choice_or("stream", "stderr", {"stderr", "stdout"}));
    settings.log_stream = stream == "stdout" ? telemetry::log_stream::standard_output
                                             : telemetry::log_stream::standard_error;
    BOOST_LEAF_ASSIGN(
        settings.log_level,
        section.choice_or("level", "info", {"trace", "debug", "info", "warn", "error", "off"}));
    return section.check_unknown_keys();
}

outcome<std::size_t> read_size(ini_section& section, const char* key, std::size_t fallback) {
    BOOST_LEAF_AUTO(size, section.integer_or(key, static_cast<std::int64_t>(fallback),
                                             {min_response_limit, max_response_limit}));
    return static_cast<std::size_t>(size);
}

/// The memory that the process may use, in bytes; empty if the settings don't name it.
outcome<std::optional<double>> read_memory(ini_section& section) {
    BOOST_LEAF_AUTO(text, section.text_or("memory", ""));
    if (text.empty()) {
        return std::nullopt;
    }
    double megabytes = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), megabytes);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    const bool is_allowed = megabytes >= min_memory_mb && megabytes <= max_memory_mb;
    if (status != std::errc{} || unit != "MB" || !is_allowed) {
        return section.fail_at("memory",
                               "'" + text + "' is not a number of megabytes, such as 88MB");
    }
    return std::optional(megabytes * bytes_per_megabyte);
}

outcome<response_limits> read_responses(const ini_document& document) {
    ini_section section(document, "responses");
    response_limits limits;
    BOOST_LEAF_ASSIGN(limits.head_bytes, read_size(section, "head-limit", limits.head_bytes));
    BOOST_LEAF_ASSIGN(limits.interim_bytes,
                      read_size(section, "interim-limit", limits.interim_bytes));
    BOOST_LEAF_ASSIGN(limits.chunk_extension_bytes,
                      read_size(section, "chunk-extension-limit", limits.chunk_extension_bytes));
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return limits;
}

} // namespace

outcome<process_settings> process_settings::read(const ini_document& document) {
    BOOST_LEAF_CHECK(document.check_groups(
        {"instance", "entry", "keeper", "gateway", "store", "duties", "responses", "log"}, {}));
    ini_section instance(document, "instance");
    process_settings settings;
    BOOST_LEAF_AUTO(id, instance.text("id"));
    BOOST_LEAF_AUTO(domain, instance.text("failure-domain"));
    BOOST_LEAF_AUTO(region, instance.text("region"));
    settings.instance = instance_id(id);
    settings.place = location{failure_domain_id(domain), region_id(region)};
    BOOST_LEAF_ASSIGN(settings.admin, instance.address("admin"));
    BOOST_LEAF_ASSIGN(settings.stop_limit,
                      instance.duration_or("stop-limit", settings.stop_limit,
                                           {std::chrono::seconds(1), std::chrono::hours(24)}));
    BOOST_LEAF_ASSIGN(settings.stop_grace,
                      instance.duration_or("stop-grace", settings.stop_grace,
                                           {duration::zero(), std::chrono::minutes(10)}));
    BOOST_LEAF_ASSIGN(settings.kill_after,
                      instance.duration_or("kill-after", settings.kill_after,
                                           {duration::zero(), std::chrono::hours(24)}));
    fit_stop_times(settings);
    BOOST_LEAF_AUTO(memory_bytes, read_memory(instance));
    BOOST_LEAF_AUTO(roles, instance.list("roles"));
    for (const std::string& role : roles) {
        if (role == "entry") {
            BOOST_LEAF_ASSIGN(settings.entry, read_entry(document));
        } else if (role == "keeper") {
            BOOST_LEAF_ASSIGN(settings.keeper, read_keeper(document));
        } else if (role == "gateway") {
            BOOST_LEAF_ASSIGN(settings.gateway, read_gateway(document));
        } else if (role == "store") {
            BOOST_LEAF_ASSIGN(settings.store, read_store(document));
        } else {
            return instance.fail_at("roles",
                                    "'" + role + "' is not one of entry, keeper, gateway, store");
        }
    }
    if (roles.empty()) {
        return instance.fail_at(
            "roles", "is required; expected one or more of entry, keeper, gateway, store");
    }
    for (const char* role : {"entry", "keeper", "gateway", "store"}) {
        const bool has_role = std::find(roles.begin(), roles.end(), role) != roles.end();
        if (document.has_group(role) && !has_role) {
            return fail(error_code::invalid_input, document.location_of(role, "") +
                                                       ": this instance does not have the role " +
                                                       role + "; see [instance] roles");
        }
    }
    BOOST_LEAF_CHECK(instance.check_unknown_keys());
    BOOST_LEAF_ASSIGN(settings.responses, read_responses(document));
    if (memory_bytes) {
        settings.responses.budget_bytes =
            static_cast<std::size_t>(*memory_bytes / response_memory_share);
    }
    BOOST_LEAF_ASSIGN(settings.duties, read_duties(document));
    BOOST_LEAF_CHECK(read_log(document, settings));
    return settings;
}

outcome<process_settings> process_settings::load(const std::string& path) {
    BOOST_LEAF_AUTO(document, ini_document::load(path));
    return process_settings::read(document);
}

} // namespace kingcupcart::settings
