#include "http/internal/response_parser.h"

#include "base/http_status.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace kingcupcart::http {

namespace {

namespace beast = boost::beast;
using beast::error_code;

constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_final_status = 200;
/// The fields of a head take up at most so many times the limit of its bytes; fields of a few bytes
/// would take up far more.
constexpr std::size_t head_memory_factor = 2;
/// What each response begins with.
constexpr std::string_view version_prefix = "HTTP/1.";
/// Position of the status in the status line, and the first digits that it may have.
constexpr std::size_t status_position = 9;
constexpr std::string_view status_classes = "12345";

/// Beast's parser for a single message, interim or final.
class message_parser final : public beast::http::basic_parser<false> {
public:
    message_parser(const response_limits& limits, bool is_head_request)
        : max_head_memory(head_memory_factor * limits.head_bytes),
          max_extension_bytes(limits.chunk_extension_bytes) {
        this->eager(true);
        this->skip(is_head_request);
        this->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
        // The caller counts the body.
        this->body_limit(boost::none);
    }

    [[nodiscard]] bool is_interim() const {
        return this->is_header_done() && this->status < first_final_status;
    }

    /// The head of an interim response ends it, so what it announces would be taken for the next.
    [[nodiscard]] bool announces_body() const {
        return this->chunked() || this->content_length().value_or(0) > 0;
    }

    response_head head;
    /// Memory of `head`, in bytes.
    std::size_t head_bytes = 0;
    std::string body;
    unsigned status = 0;
    bool is_over_limit = false;

private:
    void on_request_impl(beast::http::verb /*method*/, beast::string_view /*method_text*/,
                         beast::string_view /*target*/, int /*version*/,
                         error_code& problem) override {
        problem = beast::http::error::bad_version;
    }

    void on_response_impl(int code, beast::string_view /*reason*/, int /*version*/,
                          error_code& problem) override {
        if (!is_http_status(code)) {
            problem = beast::http::error::bad_status;
            return;
        }
        this->status = static_cast<unsigned>(code);
        this->head.status = code;
    }

    void on_field_impl(beast::http::field name, beast::string_view name_text,
                       beast::string_view value, error_code& problem) override {
        if (this->has_fields) {
            // A trailer field.
            return;
        }
        if (name == beast::http::field::content_type && this->head.content_type.empty()) {
            this->head.content_type = std::string(value);
        }
        this->head.headers.push_back({std::string(name_text), std::string(value)});
        this->head_bytes += sizeof(header_field) + name_text.size() + value.size();
        if (this->head_bytes > this->max_head_memory) {
            this->is_over_limit = true;
            problem = beast::http::error::header_limit;
        }
    }

    void on_header_impl(error_code& /*problem*/) override { this->has_fields = true; }

    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*problem*/) override {}

    std::size_t on_body_impl(beast::string_view part, error_code& /*problem*/) override {
        this->body.append(part.data(), part.size());
        return part.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view extensions,
                              error_code& problem) override {
        this->extension_bytes += extensions.size();
        if (this->extension_bytes > this->max_extension_bytes) {
            this->is_over_limit = true;
            problem = beast::http::error::bad_chunk_extension;
        }
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view part,
                                   error_code& /*problem*/) override {
        this->body.append(part.data(), part.size());
        return part.size();
    }

    void on_finish_impl(error_code& /*problem*/) override {}

    std::size_t max_head_memory;
    std::size_t max_extension_bytes;
    std::size_t extension_bytes = 0;
    bool has_fields = false;
};

std::optional<duration> parse_keep_alive_time(const response_head& head) {
    constexpr std::string_view parameter = "timeout=";
    for (const header_field& field : head.headers) {
        if (!beast::iequals(field.name, "Keep-Alive")) {
            continue;
        }
        const auto start = field.value.find(parameter);
        if (start == std::string::npos) {
            continue;
        }
        std::uint32_t seconds = 0;
        const char* text = field.value.data() + start + parameter.size();
        const auto [end, status] =
            std::from_chars(text, field.value.data() + field.value.size(), seconds);
        if (status == std::errc{}) {
            return std::chrono::seconds(seconds);
        }
    }
    return std::nullopt;
}

} // namespace

class response_parser::state {
public:
    state(const response_limits& limits, bool is_head_request)
        : limits(limits), is_head_request(is_head_request) {
        this->start_message();
    }

    void feed(std::string_view bytes) {
        if (!this->failure.empty()) {
            return;
        }
        std::string joined;
        if (!this->unparsed.empty()) {
            joined = std::move(this->unparsed);
            joined += bytes;
            bytes = joined;
        }
        while (this->failure.empty() && !this->is_complete && this->parse_some(bytes)) {
        }
        this->unparsed = std::string(bytes);
        this->check_unparsed_size();
    }

    void finish() {
        if (this->is_complete || !this->failure.empty()) {
            return;
        }
        const bool was_well_formed = this->is_well_formed();
        if (!this->parser->got_some()) {
            this->failure = "the connection was closed without a response";
            this->is_cut_short = was_well_formed;
            return;
        }
        error_code problem;
        this->parser->put_eof(problem);
        if (problem) {
            this->failure = "the connection was closed before the end of the response";
            this->is_cut_short = was_well_formed;
        } else {
            this->is_complete = true;
        }
    }

    [[nodiscard]] bool is_well_formed() const {
        return this->failure.empty() && (this->parser->status != 0 || this->may_be_status_line());
    }

    std::optional<message_parser> parser;
    std::string failure;
    bool is_over_limit = false;
    /// Received, but not parsed: an incomplete line, or bytes that follow the response.
    std::string unparsed;
    bool is_complete = false;
    bool is_cut_short = false;

private:
    /// The first bytes of a status line are checked here, since the parser looks at whole lines.
    [[nodiscard]] bool may_be_status_line() const {
        const std::string_view line = this->unparsed;
        const std::size_t size = std::min(line.size(), version_prefix.size());
        return line.substr(0, size) == version_prefix.substr(0, size) &&
               (line.size() <= status_position ||
                status_classes.find(line[status_position]) != std::string_view::npos);
    }

    void start_message() { this->parser.emplace(this->limits, this->is_head_request); }

    /// Removes the bytes that it parsed. Returns false if it needs more of them.
    bool parse_some(std::string_view& bytes) {
        error_code problem;
        const std::size_t size =
            this->parser->put(boost::asio::const_buffer(bytes.data(), bytes.size()), problem);
        bytes.remove_prefix(size);
        if (!this->parser->is_header_done()) {
            this->interim_bytes += size;
        }
        if (problem == beast::http::error::need_more) {
            return false;
        }
        if (problem) {
            this->failure = "malformed response: " + problem.message();
            this->is_over_limit =
                problem == beast::http::error::header_limit || this->parser->is_over_limit;
            return false;
        }
        if (!this->parser->is_done()) {
            return size > 0 && !bytes.empty();
        }
        if (this->parser->is_interim()) {
            this->skip_interim(size);
        } else {
            this->is_complete = true;
        }
        return !bytes.empty();
    }

    void skip_interim(std::size_t size) {
        this->interim_bytes += size;
        if (this->parser->status == status_switching_protocols) {
            this->failure = "the peer switches to another protocol";
        } else if (this->parser->announces_body()) {
            this->failure = "an interim response has a body";
        } else if (this->interim_bytes > this->limits.interim_bytes) {
            this->is_over_limit = true;
            this->failure = "the interim responses are longer than " +
                            std::to_string(this->limits.interim_bytes) + " bytes";
        } else {
            this->start_message();
        }
    }

    void check_unparsed_size() {
        const bool is_in_chunks = this->parser->is_header_done() && this->parser->chunked();
        if (!this->is_complete && is_in_chunks &&
            this->unparsed.size() > this->limits.chunk_extension_bytes) {
            this->is_over_limit = true;
            this->failure = "a chunk's size line or the trailer section is longer than " +
                            std::to_string(this->limits.chunk_extension_bytes) + " bytes";
        }
    }

    response_limits limits;
    bool is_head_request;
    std::size_t interim_bytes = 0;
};

response_parser::response_parser(const response_limits& limits, bool is_head_request)
    : impl(std::make_unique<state>(limits, is_head_request)) {}

response_parser::~response_parser() = default;

void response_parser::feed(std::string_view bytes) {
    this->impl->feed(bytes);
}

void response_parser::finish() {
    this->impl->finish();
}

bool response_parser::has_head() const {
    return this->impl->parser->is_header_done() && !this->impl->parser->is_interim();
}

const response_head& response_parser::head() const {
    return this->impl->parser->head;
}

std::string response_parser::take_body() {
    return std::exchange(this->impl->parser->body, {});
}

bool response_parser::is_complete() const {
    return this->impl->is_complete;
}

const std::string& response_parser::failure() const {
    return this->impl->failure;
}

bool response_parser::is_over_limit() const {
    return this->impl->is_over_limit;
}

std::size_t response_parser::buffered_bytes() const {
    return this->impl->parser->head_bytes + this->impl->unparsed.size();
}

bool response_parser::can_reuse_connection() const {
    return this->impl->is_complete && this->impl->unparsed.empty() &&
           this->impl->parser->keep_alive();
}

bool response_parser::is_well_formed() const {
    return this->impl->is_well_formed();
}

bool response_parser::is_cut_short() const {
    return this->impl->is_cut_short;
}

std::optional<duration> response_parser::keep_alive_time() const {
    return parse_keep_alive_time(this->impl->parser->head);
}

} // namespace kingcupcart::http
