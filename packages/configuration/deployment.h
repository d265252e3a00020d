#pragma once

#include "admission/work_class.h"
#include "base/ids.h"
#include "base/outcome.h"

#include <map>
#include <string>
#include <vector>

namespace kingcupcart::configuration {

/// A model of the deployment.
struct model_settings {
    work_class_name default_class;
};

/// A plain service of the deployment.
struct service_settings {
    work_class_name default_class;
    /// HTTP methods whose calls may run twice without harm.
    std::vector<std::string> repeatable_methods;
};

/// The configuration of a deployment, as accepted by the keepers.
struct deployment {
    std::string name;
    /// Models and services that are not listed are served too, by the open defaults.
    bool is_open = false;
    std::map<work_class_name, admission::work_class> classes;
    std::map<backend_name, model_settings> models;
    std::map<backend_name, service_settings> services;

    /// Parses and checks INI; `name` stands for the file in error messages.
    static outcome<deployment> parse(const std::string& text, const std::string& name);
    /// What an instance runs under until a keeper tells it better.
    static const std::string& default_text();

    /// Null where the model is unknown and the deployment is not open.
    [[nodiscard]] const model_settings* find_model(const backend_name& model) const;
    [[nodiscard]] const service_settings* find_service(const backend_name& service) const;
    [[nodiscard]] std::vector<admission::work_class> class_list() const;
};

} // namespace kingcupcart::configuration
