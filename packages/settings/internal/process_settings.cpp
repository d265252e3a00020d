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
    BOOST_LEAF_CHECK(section.finish());
    return read;
}

outcome<void> read_log(const ini_document& document, process_settings& read) {
    ini_section section(document, "log");
    BOOST_LEAF_AUTO(format, section.choice_or("format", "text", {"text", "json"}));
    read.format = format == "json" ? telemetry::log_format::json : telemetry::log_format::text;
    BOOST_LEAF_ASSIGN(
        read.log_level,
        section.choice_or("level", "info", {"trace", "debug", "info", "warn", "error", "off"}));
    return section.finish();
}

} // namespace

outcome<process_settings> process_settings::read(const ini_document& document) {
    BOOST_LEAF_CHECK(document.check_groups({"instance", "entry", "keeper", "log"}, {}));
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
        } else {
            return instance.refuse("roles", "'" + role + "' is not one of entry, keeper");
        }
    }
    if (roles.empty()) {
        return instance.refuse("roles", "is required; one or both of entry, keeper");
    }
    for (const char* role : {"entry", "keeper"}) {
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
