#pragma once

#include "admission/work_class.h"
#include "base/ids.h"
#include "base/outcome.h"

#include <map>
#include <string>
#include <vector>

namespace kingcupcart::configuration {

/// Settings of one model of the deployment.
struct model_settings {
    work_class_name default_class;
};

/// Settings of one service without a model.
struct service_settings {
    work_class_name default_class;
    /// HTTP methods whose requests are idempotent, so that they may be retried.
    std::vector<std::string> repeatable_methods;
};

/// The configuration of a deployment, in the version that the keepers accepted.
struct deployment {
    std::string name;
    /// Whether models and services that are not listed are served too, with default settings.
    bool is_open = false;
    std::map<work_class_name, admission::work_class> classes;
    std::map<backend_name, model_settings> models;
    std::map<backend_name, service_settings> services;

    /// Parses and validates INI text; error messages name the file as `name`.
    static outcome<deployment> parse(const std::string& text, const std::string& name);
    /// Configuration that an instance uses until it receives one from a keeper.
    static const std::string& default_text();

    /// Null where the model is not listed and the deployment is not open.
    [[nodiscard]] const model_settings* find_model(const backend_name& model) const;
    [[nodiscard]] const service_settings* find_service(const backend_name& service) const;
    [[nodiscard]] std::vector<admission::work_class> class_list() const;
};

} // namespace kingcupcart::configuration
