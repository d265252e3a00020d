#include "process/client_stream.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace kingcupcart::process_tests {

client_stream::client_stream(deployment& test_deployment, std::string name, int last_event)
    : test_deployment(test_deployment),
      name(std::move(name)),
      try_count(last_event > 0 ? 1 : 0),
      last_event(last_event) {}

void client_stream::begin(const std::string& gateway) {
    this->send(gateway, {});
}

void client_stream::take_up(const std::string& gateway) {
    this->send(gateway, this->name + "-1");
}

void client_stream::leave() {
    this->update();
    this->current->call.reset();
}

bool client_stream::goes_on() {
    this->update();
    return this->current->head.status == 200 && this->last_event > this->received_before;
}

bool client_stream::has_event(int number) {
    this->update();
    return this->last_event >= number;
}

void client_stream::send(const std::string& gateway, const std::string& resumes) {
    http::request request;
    request.method = "POST";
    request.url = gateway + "/t/" + this->name;
    request.headers = {{"Host", "shop"},
                       {"X-Request-Id", this->name + "-" + std::to_string(++this->try_count)},
                       {"X-Deadline-Ms", "10000"}};
    if (!resumes.empty()) {
        request.headers.push_back({"Resumes", resumes});
        request.headers.push_back({"Last-Event-Id", std::to_string(this->last_event)});
    }
    request.repeatable = false;
    this->received_before = this->last_event;
    this->current = this->test_deployment.begin(request);
}

void client_stream::update() {
    std::istringstream lines(this->current->body);
    int number = 0;
    int expected = this->received_before;
    for (std::string line; std::getline(lines, line) && !lines.eof();) {
        if (line.starts_with("id: ")) {
            number = std::stoi(line.substr(4));
            this->has_broken_order = this->has_broken_order || number != ++expected;
        } else if (line.starts_with("data: ")) {
            this->seen_versions.insert(line.substr(6, line.find(' ', 6) - 6));
            this->last_event = std::max(this->last_event, number);
        }
    }
}

} // namespace kingcupcart::process_tests
