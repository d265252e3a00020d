#pragma once

#include "base/clock.h"
#include "http/answer_head.h"
#include "http/client.h"
#include "http/request.h"
#include "process/child_process.h"
#include "task/event_loop.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

/// A call made by a test, and what came of it so far.
struct caller {
    std::unique_ptr<http::client::call> call;
    http::answer_head head;
    std::string body;
    bool is_over = false;
    std::chrono::steady_clock::time_point ended;
    http::call_end end = http::call_end::broken;

    [[nodiscard]] std::string header(const std::string& name) const;
};

/// Processes of a small deployment on loopback with ports chosen by the kernel, and callers.
class deployment {
public:
    deployment();
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts a keeper; its identifier is `k1`, `k2`, …
    child_process& add_keeper();
    /// Starts three keepers that form one deployment.
    std::vector<child_process*> add_three_keepers();
    /// Starts a keeper of the three again, with its disk as it is or emptied.
    child_process& restart_keeper(const std::string& id, bool is_emptied);
    /// The keeper part of the instance's status; null while it has none.
    nlohmann::json keeper_status(child_process& keeper);
    /// Starts an entry instance that knows the keepers and the first entry instance.
    child_process& add_entry(const std::string& domain = "local");
    child_process& add_engine(const std::string& id, child_process& entry,
                              const std::vector<std::string>& more = {});
    child_process& add_service(const std::string& id, child_process& entry,
                               const std::vector<std::string>& more = {});

    /// Starts an instance with these settings.
    child_process& add_process(const std::string& name, const std::string& settings);
    /// A path in the deployment's own folder.
    [[nodiscard]] std::string path_of(const std::string& name) const;

    /// The folder stays when this object goes, with the logs in it.
    void keep_folder() { this->is_kept = true; }

    std::unique_ptr<caller> begin(const http::request& wanted);
    /// Makes a call and waits for its end.
    std::unique_ptr<caller> call(const http::request& wanted);
    /// Lets time pass.
    void wait(duration time);
    /// Lets the loop handle what comes next.
    void run_once();
    /// Runs the loop until the condition holds; false after the patience of a test.
    bool run_until(const std::function<bool()>& condition);
    /// The status object of an instance, as text.
    std::string status(child_process& instance);
    /// Waits until the instance knows so many targets.
    bool has_targets(child_process& instance, std::size_t count);

private:
    std::string write_settings(const std::string& name, const std::string& text);

    task::event_loop loop;
    std::string folder;
    bool is_kept = false;
    std::unique_ptr<http::client> client;
    std::vector<std::string> keeper_addresses;
    std::string entry_address;
    int keepers = 0;
    int entries = 0;
    std::vector<std::unique_ptr<child_process>> processes;
};

/// An address on loopback whose port was free a moment ago.
[[nodiscard]] std::string free_address();

/// `POST` of JSON to an instance's callers' address.
[[nodiscard]] http::request post(child_process& instance, const std::string& path,
                                 const std::string& body,
                                 const std::vector<header_field>& headers = {});

} // namespace kingcupcart::process_tests
