#include "settings/process_settings.h"

#include "settings/ini_document.h"
#include "settings/ini_section.h"

#include <algorithm>

namespace kingcupcart::settings {

namespace {

constexpr std::int64_t body_limit_max = std::int64_t{1024} * 1024 * 1024;

outcome<entry_settings> read_entry(const ini_document& document) {
    ini_section section(document, "entry");
    entry_settings read;
    BOOST_LEAF_ASSIGN(read.callers, section.address("callers"));
    BOOST_LEAF_ASSIGN(read.address, section.address("address"));
    BOOST_LEAF_ASSIGN(read.peers, section.addresses("peers"));
    BOOST_LEAF_ASSIGN(read.keepers, section.addresses("keepers"));
    BOOST_LEAF_ASSIGN(read.target_lease, section.duration_or("target-lease", read.target_lease,
                                                             {std::chrono::milliseconds(200),
                                                              std::chrono::minutes(5)}));
    BOOST_LEAF_ASSIGN(read.body_limit,
                      section.integer_or("body-limit", read.body_limit, {1024, body_limit_max}));
    BOOST_LEAF_ASSIGN(read.key_time,
                      section.duration_or("key-time", read.key_time,
                                          {std::chrono::seconds(1), std::chrono::hours(48)}));
    BOOST_LEAF_CHECK(section.finish());
    return read;
}

constexpr std::int64_t port_max = 65535;
constexpr std::int64_t tolerated_losses_max = 4;

outcome<fleet_settings> read_fleet(ini_section& section) {
    fleet_settings read;
    BOOST_LEAF_ASSIGN(read.seeds, section.addresses("seeds"));
    BOOST_LEAF_AUTO(port, section.integer_or("link-port", 0, {0, port_max}));
    read.link_port = static_cast<std::uint16_t>(port);
    return read;
}

outcome<std::size_t> read_tolerated_losses(ini_section& section) {
    BOOST_LEAF_AUTO(losses, section.integer_or("tolerated-losses", 1, {0, tolerated_losses_max}));
    return static_cast<std::size_t>(losses);
}

outcome<gateway_settings> read_gateway(const ini_document& document) {
    ini_section section(document, "gateway");
    gateway_settings read;
    BOOST_LEAF_ASSIGN(read.fleet, read_fleet(section));
    BOOST_LEAF_ASSIGN(read.callers, section.address("callers"));
    BOOST_LEAF_ASSIGN(read.ready, section.address("ready"));
    BOOST_LEAF_ASSIGN(read.body_limit,
                      section.integer_or("body-limit", read.body_limit, {1024, body_limit_max}));
    BOOST_LEAF_CHECK(section.finish());
    return read;
}

outcome<store_settings> read_store(const ini_document& document) {
    ini_section section(document, "store");
    store_settings read;
    BOOST_LEAF_ASSIGN(read.fleet, read_fleet(section));
    BOOST_LEAF_ASSIGN(read.address, section.address("address"));
    BOOST_LEAF_ASSIGN(read.data, section.text("data"));
    BOOST_LEAF_ASSIGN(read.is_first_start, section.boolean_or("first-start", false));
    BOOST_LEAF_ASSIGN(read.tolerated_losses, read_tolerated_losses(section));
    BOOST_LEAF_ASSIGN(read.retention,
                      section.duration_or("retention", read.retention,
                                          {std::chrono::seconds(1), std::chrono::hours(48)}));
    BOOST_LEAF_CHECK(section.finish());
    return read;
}

outcome<std::optional<control_settings>> read_control(ini_section& section) {
    BOOST_LEAF_AUTO(address, section.address_if_any("control"));
    if (!address) {
        return std::nullopt;
    }
    control_settings read;
    read.address = *address;
    BOOST_LEAF_ASSIGN(read.fleet, read_fleet(section));
    BOOST_LEAF_ASSIGN(read.is_first_start, section.boolean_or("first-start", false));
    BOOST_LEAF_ASSIGN(read.tolerated_losses, read_tolerated_losses(section));
    BOOST_LEAF_ASSIGN(read.order_lease, section.duration_or("order-lease", read.order_lease,
                                                            {std::chrono::milliseconds(100),
                                                             std::chrono::minutes(1)}));
    BOOST_LEAF_ASSIGN(read.target_lease, section.duration_or("target-lease", read.target_lease,
                                                             {std::chrono::milliseconds(200),
                                                              std::chrono::minutes(5)}));
    return std::optional(read);
}

outcome<keeper_settings> read_keeper(const ini_document& document) {
    ini_section section(document, "keeper");
    keeper_settings read;
    BOOST_LEAF_ASSIGN(read.address, section.address("address"));
    BOOST_LEAF_ASSIGN(read.data, section.text("data"));
    BOOST_LEAF_ASSIGN(read.members, section.list("members"));
    for (const std::string& member : read.members) {
        const auto at = member.find('@');
        const bool has_address = at != std::string::npos && at > 0 &&
                                 std::holds_alternative<endpoint>(value_or_error(
                                     [&] { return parse_endpoint(member.substr(at + 1)); }));
        if (!has_address) {
            return section.refuse("members", "'" + member + "' is not such as k1@127.0.0.1:7000");
        }
    }
    BOOST_LEAF_ASSIGN(read.initial_configuration, section.text_or("initial-configuration", ""));
    BOOST_LEAF_ASSIGN(read.control, read_control(section));
    if (read.control && !read.members.empty()) {
        return section.refuse("members", "a keeper of a fleet finds the others by its seeds");
    }
    BOOST_LEAF_CHECK(section.finish());
    return read;
}

outcome<void> read_log(const ini_document& document, process_settings& read) {
    ini_section section(document, "log");
    BOOST_LEAF_AUTO(format, section.choice_or("format", "text", {"text", "json"}));
    read.format = format == "json" ? telemetry::log_format::json : telemetry::log_format::text;
    BOOST_LEAF_AUTO(stream, section.choice_or("stream", "stderr", {"stderr", "stdout"}));
    read.log_stream = stream == "stdout" ? telemetry::log_stream::standard_output
                                         : telemetry::log_stream::standard_error;
    BOOST_LEAF_ASSIGN(
        read.log_level,
        section.choice_or("level", "info", {"trace", "debug", "info", "warn", "error", "off"}));
    return section.finish();
}

} // namespace

outcome<process_settings> process_settings::read(const ini_document& document) {
    BOOST_LEAF_CHECK(
        document.check_groups({"instance", "entry", "keeper", "gateway", "store", "log"}, {}));
    ini_section instance(document, "instance");
    process_settings read;
    BOOST_LEAF_AUTO(id, instance.text("id"));
    BOOST_LEAF_AUTO(domain, instance.text("failure-domain"));
    BOOST_LEAF_AUTO(region, instance.text("region"));
    read.instance = instance_id(id);
    read.place = location{failure_domain_id(domain), region_id(region)};
    BOOST_LEAF_ASSIGN(read.admin, instance.address("admin"));
    BOOST_LEAF_ASSIGN(read.stop_limit,
                      instance.duration_or("stop-limit", read.stop_limit,
                                           {std::chrono::seconds(1), std::chrono::hours(24)}));
    BOOST_LEAF_ASSIGN(read.stop_grace,
                      instance.duration_or("stop-grace", read.stop_grace,
                                           {duration::zero(), std::chrono::minutes(10)}));
    BOOST_LEAF_AUTO(roles, instance.list("roles"));
    for (const std::string& role : roles) {
        if (role == "entry") {
            BOOST_LEAF_ASSIGN(read.entry, read_entry(document));
        } else if (role == "keeper") {
            BOOST_LEAF_ASSIGN(read.keeper, read_keeper(document));
        } else if (role == "gateway") {
            BOOST_LEAF_ASSIGN(read.gateway, read_gateway(document));
        } else if (role == "store") {
            BOOST_LEAF_ASSIGN(read.store, read_store(document));
        } else {
            return instance.refuse("roles",
                                   "'" + role + "' is not one of entry, keeper, gateway, store");
        }
    }
    if (roles.empty()) {
        return instance.refuse("roles", "is required; some of entry, keeper, gateway, store");
    }
    for (const char* role : {"entry", "keeper", "gateway", "store"}) {
        const bool is_played = std::find(roles.begin(), roles.end(), role) != roles.end();
        if (document.has_group(role) && !is_played) {
            return fail(error_code::invalid_input, document.place(role, "") +
                                                       ": this instance does not have the role " +
                                                       role + "; see [instance] roles");
        }
    }
    BOOST_LEAF_CHECK(instance.finish());
    BOOST_LEAF_CHECK(read_log(document, read));
    return read;
}

outcome<process_settings> process_settings::load(const std::string& path) {
    BOOST_LEAF_AUTO(document, ini_document::load(path));
    return process_settings::read(document);
}

} // namespace kingcupcart::settings
