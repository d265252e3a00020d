#pragma once

#include "base/clock.h"
#include "base/system_clock.h"
#include "http/client.h"
#include "http/request.h"
#include "http/response_head.h"
#include "process/child_process.h"
#include "task/event_loop.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcupcart::process_tests {

/// An HTTP call made by a test, and the part of its response that has arrived.
struct client_call {
    std::unique_ptr<http::client::call> call;
    http::response_head head;
    std::string body;
    bool is_completed = false;
    /// When the call completed or failed.
    std::chrono::steady_clock::time_point completed_at;
    http::call_result result = http::call_result::broken;

    [[nodiscard]] std::string header(const std::string& name) const;
};

/// A small deployment of real processes on loopback, with ports chosen by the kernel, and the HTTP
/// client and event loop that tests call it with. Its settings, data and logs are in a temporary
/// folder.
class deployment {
public:
    deployment();
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts a keeper without other members. Identifiers are `k1`, `k2`, …
    child_process& add_keeper();
    /// Starts three keepers, `k1` to `k3`, that form one replicated group.
    std::vector<child_process*> add_three_keepers();
    /// Restarts one of the three keepers, with its data folder as it is, or removed if
    /// `is_disk_lost`.
    child_process& restart_keeper(const std::string& id, bool is_disk_lost);
    /// The `keeper` object of the instance's status; null if it is missing.
    nlohmann::json keeper_status(child_process& keeper);
    /// Starts an entry instance whose settings name all keepers and the first entry instance.
    child_process& add_entry(const std::string& domain = "local");
    /// `add_engine` and `add_service` start a stand-in target that announces itself to the entry
    /// instance.
    child_process& add_engine(const std::string& id, child_process& entry,
                              const std::vector<std::string>& extra_arguments = {});
    child_process& add_service(const std::string& id, child_process& entry,
                               const std::vector<std::string>& extra_arguments = {});

    /// Starts an instance with these settings; `name` names the settings file. For
    /// `max_file_size` and `environment` see `child_process`.
    child_process& add_process(const std::string& name, const std::string& settings,
                               rlim_t max_file_size = RLIM_INFINITY,
                               const std::vector<std::string>& environment = {});
    /// The path of a file in the deployment's temporary folder.
    [[nodiscard]] std::string path_of(const std::string& name) const;

    /// The destructor doesn't remove the temporary folder, so that its logs can be read.
    void keep_folder() { this->keeps_folder = true; }

    /// Starts a call and returns at once; the event loop fills in the result.
    std::unique_ptr<client_call> begin(const http::request& request);
    /// Makes a call and waits until it completes, 30 s at most.
    std::unique_ptr<client_call> call(const http::request& request);
    /// Runs the event loop for this time, 30 s at most.
    void wait(duration time);
    /// Runs one iteration of the event loop, which waits for an event.
    void run_once();
    /// Runs the event loop until the condition holds; false if it doesn't within 30 s.
    bool run_until(const std::function<bool()>& condition);
    /// The JSON text of the instance's `/status`.
    std::string status(child_process& instance);
    /// Waits until the instance's status lists `count` targets; false if it doesn't within 30 s.
    bool wait_for_targets(child_process& instance, std::size_t count);

private:
    std::string write_settings(const std::string& name, const std::string& text);

    task::event_loop loop;
    std::string folder;
    bool keeps_folder = false;
    system_clock time;
    std::unique_ptr<http::client> client;
    std::vector<std::string> keeper_addresses;
    std::string entry_address;
    int keeper_count = 0;
    int entry_count = 0;
    std::vector<std::unique_ptr<child_process>> processes;
};

/// A loopback address whose port was free at the time of the call; another process may take it.
[[nodiscard]] std::string free_address();

/// A `POST` request with a JSON body to the instance's address for callers.
[[nodiscard]] http::request post(child_process& instance, const std::string& path,
                                 const std::string& body,
                                 const std::vector<header_field>& headers = {});

} // namespace kingcupcart::process_tests
