#include "configuration/deployment.h"

#include "settings/ini_document.h"
#include "settings/ini_section.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace kingcupcart::configuration {

namespace {

using settings::ini_document;
using settings::ini_section;

const std::string class_prefix = "class ";
const std::string model_prefix = "model ";
const std::string service_prefix = "service ";

constexpr std::array http_methods{"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"};
constexpr std::int64_t max_queue_limit = 1'000'000;

const model_settings open_model{work_class_name("query")};
const service_settings open_service{work_class_name("booking"), {"GET", "HEAD", "OPTIONS"}};

outcome<admission::work_class> read_class(const ini_document& document, const std::string& group) {
    ini_section section(document, group);
    admission::work_class work;
    work.name = work_class_name(group.substr(class_prefix.size()));
    BOOST_LEAF_AUTO(kind, section.choice_or("urgency", "", {"short", "long"}));
    work.kind = kind == "short" ? urgency::short_work : urgency::long_work;
    BOOST_LEAF_ASSIGN(work.deadline,
                      section.duration_or("deadline", work.deadline,
                                          {std::chrono::milliseconds(10), std::chrono::hours(24)}));
    BOOST_LEAF_AUTO(limit,
                    section.integer_or("queue-limit", static_cast<std::int64_t>(work.queue_limit),
                                       {0, max_queue_limit}));
    work.queue_limit = static_cast<std::size_t>(limit);
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return work;
}

outcome<work_class_name> read_class_name(ini_section& section, const deployment& parsed) {
    BOOST_LEAF_AUTO(text, section.text("class"));
    work_class_name name(text);
    if (!parsed.classes.contains(name)) {
        return section.fail_at("class", "'" + text + "' has no group [class " + text + "]");
    }
    return name;
}

outcome<service_settings> read_service(const ini_document& document, const std::string& group,
                                       const deployment& parsed) {
    ini_section section(document, group);
    service_settings service;
    BOOST_LEAF_ASSIGN(service.default_class, read_class_name(section, parsed));
    BOOST_LEAF_ASSIGN(service.repeatable_methods, section.list("repeatable-methods"));
    for (const std::string& method : service.repeatable_methods) {
        if (std::find(http_methods.begin(), http_methods.end(), method) == http_methods.end()) {
            return section.fail_at("repeatable-methods", "'" + method + "' is not an HTTP method");
        }
    }
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return service;
}

outcome<model_settings> read_model(const ini_document& document, const std::string& group,
                                   const deployment& parsed) {
    ini_section section(document, group);
    model_settings model;
    BOOST_LEAF_ASSIGN(model.default_class, read_class_name(section, parsed));
    BOOST_LEAF_CHECK(section.check_unknown_keys());
    return model;
}

} // namespace

outcome<deployment> deployment::parse(const std::string& text, const std::string& name) {
    BOOST_LEAF_AUTO(document, ini_document::parse(text, name));
    BOOST_LEAF_CHECK(
        document.check_groups({"deployment"}, {class_prefix, model_prefix, service_prefix}));
    deployment result;
    ini_section main(document, "deployment");
    BOOST_LEAF_ASSIGN(result.name, main.text("name"));
    BOOST_LEAF_ASSIGN(result.is_open, main.boolean_or("open", false));
    BOOST_LEAF_CHECK(main.check_unknown_keys());
    for (const std::string& group : document.groups()) {
        if (group.starts_with(class_prefix)) {
            BOOST_LEAF_AUTO(work, read_class(document, group));
            result.classes.emplace(work.name, work);
        }
    }
    for (const std::string& group : document.groups()) {
        if (group.starts_with(model_prefix)) {
            BOOST_LEAF_AUTO(model, read_model(document, group, result));
            result.models.emplace(backend_name(group.substr(model_prefix.size())), model);
        } else if (group.starts_with(service_prefix)) {
            BOOST_LEAF_AUTO(service, read_service(document, group, result));
            result.services.emplace(backend_name(group.substr(service_prefix.size())), service);
        }
    }
    return result;
}

const std::string& deployment::default_text() {
    static const std::string text = R"([deployment]
name = default
open = true

[class booking]
urgency = short
deadline = 10s
queue-limit = 1000

[class query]
urgency = short
deadline = 60s
queue-limit = 1000

[class draft]
urgency = long
deadline = 30min
queue-limit = 10000

[class grade]
urgency = long
deadline = 10min
queue-limit = 10000
)";
    return text;
}

const model_settings* deployment::find_model(const backend_name& model) const {
    const auto found = this->models.find(model);
    if (found != this->models.end()) {
        return &found->second;
    }
    return this->is_open ? &open_model : nullptr;
}

const service_settings* deployment::find_service(const backend_name& service) const {
    const auto found = this->services.find(service);
    if (found != this->services.end()) {
        return &found->second;
    }
    return this->is_open ? &open_service : nullptr;
}

std::vector<admission::work_class> deployment::class_list() const {
    std::vector<admission::work_class> list;
    for (const auto& [name, work] : this->classes) {
        list.push_back(work);
    }
    return list;
}

} // namespace kingcupcart::configuration
