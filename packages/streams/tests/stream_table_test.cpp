#include "base/manual_clock.h"
#include "streams/record_limits.h"
#include "streams/stream_table.h"

#include <doctest/doctest.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace kingcupcart;
using namespace kingcupcart::streams;
using namespace std::chrono_literals;

namespace {

stream_record make_record(const std::string& stream, const char* software = "v1") {
    return {stream_id(stream), backend_name("chat"), software_version(software), 45s, 0ms};
}

} // namespace

SCENARIO("a table of stream records") {
    manual_clock time;
    time.advance(1h);
    stream_table table(3);
    const auto find = [&](const char* stream) { return table.find(stream_id(stream), time.now()); };

    GIVEN("a record") {
        table.put(make_record("a"), time.now());
        THEN("it is found with its age until it expires") {
            time.advance(44s);
            REQUIRE(find("a"));
            CHECK(find("a")->software == software_version("v1"));
            CHECK(find("a")->age == 44s);
            CHECK(find("a")->lifetime == 1s);
            time.advance(1s);
            CHECK(!find("a"));
            table.remove_expired(time.now());
            CHECK(table.size() == 0);
            CHECK(table.evicted() == 0);
        }
        AND_WHEN("it is renewed") {
            time.advance(40s);
            table.put(make_record("a"), time.now());
            THEN("it is kept for longer, and its age is that of the stream") {
                time.advance(10s);
                REQUIRE(find("a"));
                CHECK(find("a")->age == 50s);
                CHECK(find("a")->software == software_version("v1"));
            }
        }
        AND_WHEN("another record names another version for it") {
            table.put(make_record("a", "v2"), time.now());
            THEN("its version is unknown, and stays so") {
                REQUIRE(find("a"));
                CHECK(!find("a")->software);
                table.put(make_record("a"), time.now());
                CHECK(!find("a")->software);
            }
        }
        AND_WHEN("another record names another service for it") {
            stream_record other = make_record("a");
            other.backend = backend_name("other");
            table.put(other, time.now());
            THEN("its version is unknown") {
                CHECK(!find("a")->software);
            }
        }
        AND_WHEN("its version turns out to be unknown, and the first record arrives again") {
            stream_record unknown = make_record("a");
            unknown.software.reset();
            table.put(unknown, time.now());
            table.put(make_record("a"), time.now());
            THEN("its version is unknown") {
                CHECK(!find("a")->software);
            }
        }
    }
    GIVEN("a full table") {
        stream_record first = make_record("a");
        first.lifetime = 10s;
        table.put(make_record("b"), time.now());
        table.put(first, time.now());
        table.put(make_record("c"), time.now());
        WHEN("another record is added") {
            table.put(make_record("d"), time.now());
            THEN("the one that expires first is evicted") {
                CHECK(table.size() == 3);
                CHECK(table.evicted() == 1);
                CHECK(!find("a"));
                CHECK(find("d"));
            }
        }
    }
    GIVEN("records that no instance of this release sends") {
        stream_record endless = make_record("endless");
        endless.lifetime = std::chrono::milliseconds::max();
        endless.age = std::chrono::milliseconds::max();
        table.put(endless, time.now());
        stream_record expired = make_record("expired");
        expired.lifetime = -5ms;
        table.put(expired, time.now());
        table.put(make_record(std::string(max_stream_id_bytes + 1, 'x')), time.now());
        THEN("their times and identifiers are bounded") {
            REQUIRE(find("endless"));
            CHECK(find("endless")->lifetime == max_record_lifetime);
            CHECK(find("endless")->age == max_record_lifetime);
            CHECK(table.size() == 1);
        }
    }
}

SCENARIO("the memory of a keeper's stream records is bounded") {
    GIVEN("streams without end, with identifiers of the usual length") {
        manual_clock time;
        const auto used_before = mallinfo2().uordblks;
        stream_table table(max_keeper_records);
        std::size_t highest = 0;
        for (std::size_t i = 0; i < 2 * max_keeper_records; ++i) {
            std::string stream = std::to_string(i);
            stream.insert(0, 16 - stream.size(), '0');
            table.put(make_record(stream), time.now());
            highest = std::max(highest, table.size());
        }
        const auto used = mallinfo2().uordblks - used_before;
        MESSAGE("bytes a record: ", used / table.size());
        THEN("it stays under 48 MB") {
            CHECK(highest == max_keeper_records);
            CHECK(table.evicted() == max_keeper_records);
            CHECK(used < 48'000'000);
        }
    }
}
