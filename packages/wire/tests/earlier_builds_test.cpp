#include "wire/codec.h"
#include "wire/revision.h"
#include "wire/storage_codec.h"

#include <doctest/doctest.h>

#include <charconv>
#include <string>
#include <string_view>
#include <vector>

using namespace kingcupcart;
using namespace kingcupcart::wire;

// Instances are replaced one after the other, so that both builds read each other's messages and
// data. Guards against bytes that the other build rejects: it closes the link, or loses the job.
namespace {

std::string from_hex(std::string_view text) {
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        unsigned char byte = 0;
        std::from_chars(text.data() + i, text.data() + i + 2, byte, base);
        bytes.push_back(static_cast<char>(byte));
    }
    return bytes;
}

// Written by the build of commit d5ca1cf, which knows no accounts.
constexpr std::string_view submit_bytes =
    "8b150746737465702d314473686f70442f642f31416d03f401818841614167442f642f61818247582d4d6f"
    "64656c416d44626f64790a14001a000f4240";
constexpr std::string_view read_bytes = "85160746737465702d31021901f4";
constexpr std::string_view body_bytes = "84170746737465702d314161";
constexpr std::string_view end_bytes = "8318180746737465702d31";
constexpr std::string_view relayed_bytes =
    "8e182e0647617474656d70744473686f7044504f5354442f622f3181824c582d526571756573742d496447"
    "617474656d707444626f64791902bc0040436170708002";
constexpr std::string_view hello_bytes =
    "8a016773746f72652d3105626131616103693132372e302e302e3118468000";
constexpr std::string_view command_bytes =
    "8e004773746f72652d31050946737465702d314473686f70442f642f31416d03f401818841614167442f64"
    "2f61818247582d4d6f64656c416d44626f64790a14001a000f42401a0001d4c0";
constexpr std::string_view snapshot_bytes =
    "8d46737465702d314473686f70442f642f31416d03f401818841614167442f642f61818247582d4d6f6465"
    "6c416d44626f64790a14001a000f42401a00111700f4f481844161f54474657874818103";

batch::job make_job(const account_name& account) {
    batch::job job;
    job.id = job_id("step-1");
    job.host = "shop";
    job.path = "/d/1";
    job.model = model_name("m");
    job.oldest_version = weight_version(3);
    job.groups_required = 1;
    batch::job_item item;
    item.id = item_id("a");
    item.group = item_group_id("g");
    item.path = "/d/a";
    item.headers = {{"X-Model", "m"}};
    item.body = "body";
    item.prompt = tokens(10);
    item.max_output = tokens(20);
    job.items = {item};
    job.submitted = wall_time(std::chrono::seconds(1000));
    job.account = account;
    return job;
}

relayed_call_request make_relayed_call(const account_name& account) {
    relayed_call_request relayed;
    relayed.call = 6;
    relayed.name = "attempt";
    relayed.host = "shop";
    relayed.method = "POST";
    relayed.path = "/b/1";
    relayed.headers = {{"X-Request-Id", "attempt"}};
    relayed.body = "body";
    relayed.max_wait = std::chrono::milliseconds(700);
    relayed.backend = backend_name("app");
    relayed.max_attempts = 2;
    relayed.account = account;
    return relayed;
}

struct earlier_message {
    message content;
    std::string bytes;
};

std::vector<earlier_message> make_messages(const account_name& account) {
    const job_id job("step-1");
    return {{submit_job_request{7, make_job(account)}, from_hex(submit_bytes)},
            {read_results_request{7, job, 2, std::chrono::milliseconds(500), account},
             from_hex(read_bytes)},
            {item_body_request{7, job, item_id("a"), account}, from_hex(body_bytes)},
            {end_job_request{7, job, account}, from_hex(end_bytes)},
            {make_relayed_call(account), from_hex(relayed_bytes)}};
}

batch_command make_command(const account_name& account) {
    batch_command command;
    command.origin = {instance_id("store-1"), incarnation_id(5), 9};
    command.content = batch::submit_job{make_job(account), std::chrono::minutes(2)};
    return command;
}

batch::job_snapshot_piece make_piece(const account_name& account) {
    batch::job_snapshot_piece piece;
    piece.content = make_job(account);
    piece.retained_until = wall_time(std::chrono::seconds(1120));
    piece.results = {{item_id("a"), true, "text", {weight_version(3)}, ""}};
    return piece;
}

template <typename Result>
const auto& value_of(const Result& result) {
    REQUIRE_FALSE(std::holds_alternative<error>(result));
    return std::get<0>(result);
}

} // namespace

SCENARIO("a build without accounts and this one exchange messages") {
    WHEN("this build receives the earlier build's messages") {
        THEN("they are read as messages without an account") {
            for (const earlier_message& earlier : make_messages(account_name())) {
                const auto decoded = value_or_error([&] { return decode(earlier.bytes); });
                CHECK(value_of(decoded).index() == earlier.content.index());
                CHECK(encode(value_of(decoded)) == earlier.bytes);
            }
            const auto greeting = value_or_error([&] { return decode(from_hex(hello_bytes)); });
            CHECK(std::get<hello>(value_of(greeting)).revision == 0);
        }
    }
    WHEN("this build sends messages without an account") {
        THEN("their bytes are those of the earlier build") {
            for (const earlier_message& earlier : make_messages(account_name())) {
                CHECK(encode(earlier.content) == earlier.bytes);
                CHECK_FALSE(reduced_for(0, earlier.content));
            }
        }
    }
    WHEN("this build has an account to state") {
        const std::vector<earlier_message> messages = make_messages(account_name("north"));
        THEN("a receiver of the earlier build gets the messages without it") {
            for (const earlier_message& earlier : messages) {
                const auto reduced = reduced_for(0, earlier.content);
                REQUIRE(reduced);
                CHECK(encode(*reduced) == earlier.bytes);
            }
        }
        THEN("a receiver of this build gets all of them") {
            for (const earlier_message& earlier : messages) {
                CHECK_FALSE(reduced_for(protocol_revision, earlier.content));
                const std::string bytes = encode(earlier.content);
                const auto decoded = value_or_error([&] { return decode(bytes); });
                CHECK(encode(value_of(decoded)) == bytes);
                CHECK(bytes != earlier.bytes);
            }
        }
    }
}

SCENARIO("a build without accounts and this one share the stores' data") {
    WHEN("this build reads a command and a snapshot of the earlier build") {
        const auto command =
            value_or_error([&] { return decode_batch_command(from_hex(command_bytes)); });
        const auto piece =
            value_or_error([&] { return decode_job_snapshot_piece(from_hex(snapshot_bytes)); });
        THEN("the job has no account") {
            const auto& submitted = std::get<batch::submit_job>(value_of(command).content);
            CHECK(submitted.content.id == job_id("step-1"));
            CHECK(submitted.content.account.value().empty());
            CHECK(value_of(piece).content.account.value().empty());
            CHECK(value_of(piece).results.size() == 1);
        }
    }
    WHEN("this build writes a job without an account") {
        THEN("the bytes are those of the earlier build") {
            CHECK(encode_command(make_command(account_name())) == from_hex(command_bytes));
            CHECK(encode_state(make_piece(account_name())) == from_hex(snapshot_bytes));
        }
    }
    WHEN("this build writes a job with an account") {
        const account_name owner("north");
        const auto command = value_or_error(
            [&] { return decode_batch_command(encode_command(make_command(owner))); });
        const auto piece = value_or_error(
            [&] { return decode_job_snapshot_piece(encode_state(make_piece(owner))); });
        THEN("it reads the account back") {
            CHECK(std::get<batch::submit_job>(value_of(command).content).content.account == owner);
            CHECK(value_of(piece).content.account == owner);
        }
    }
}
