#include "celeryline/fleet/ClaimLedger.h"

#include "celeryline/base/Base64.h"
#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <sstream>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

Command claim(const std::string& key, const std::string& attempt, const std::string& digest = "d")
{
    return { CommandKind::Ledger, "claim-" + attempt,
        R"({"op":"claim","service":"s","key":")" + key + R"(","digest":")" + digest + R"(","attempt":")"
            + attempt + R"(","owner":"a"})" };
}

Command end(const std::string& key, const std::string& attempt, const std::string& state,
    const std::string& answer = "")
{
    return { CommandKind::Ledger, "end-" + attempt,
        R"({"op":"end","service":"s","key":")" + key + R"(","digest":"d","attempt":")" + attempt
            + R"(","state":")" + state + R"(","status":200,"instance":"r1","answer":")" + toBase64(answer)
            + "\"}" };
}

/// A ledger with a counter for log indexes and a manual clock for entry times.
struct LedgerFixture {
    explicit LedgerFixture(LedgerSettings settings = { Millis { 1000 }, 100, 1 << 20, 1000 })
        : ledger(settings)
    {
    }

    CommandResult apply(const Command& command, std::int64_t step = 1)
    {
        time.count += step;
        return ledger.apply(++index, time, command);
    }

    bool grants(const Command& command, std::int64_t step = 1)
    {
        return apply(command, step).body == R"({"granted":true})";
    }

    ClaimLedger ledger;
    std::uint64_t index = 0;
    Millis time;
};

} // namespace

TEST_CASE("A key is granted once, and again only to the same attempt or after not-run", "[ledger]")
{
    LedgerFixture fixture;
    CHECK(fixture.grants(claim("k", "1")));
    CHECK(fixture.grants(claim("k", "1")));
    CHECK_THAT(fixture.apply(claim("k", "2")).body, Contains("begun"));
    CHECK(fixture.apply(end("k", "1", "notRun")).accepted);
    CHECK(fixture.grants(claim("k", "2")));
    // A late end of the first attempt must not release the claim of the second.
    CHECK(fixture.apply(end("k", "1", "notRun")).errorKind == ErrorKind::Conflict);
    CHECK(fixture.apply(end("k", "2", "done", "answer")).accepted);
    CHECK(fixture.apply(end("k", "2", "done", "answer")).accepted);
    CHECK(fixture.apply(end("k", "2", "notRun")).errorKind == ErrorKind::Conflict);
    const auto replay = fixture.apply(claim("k", "3"));
    CHECK_THAT(replay.body, Contains("done") && Contains(toBase64("answer")) && Contains("r1"));
    CHECK(fixture.apply(claim("k", "4", "other")).errorKind == ErrorKind::Conflict);
}

TEST_CASE("An unknown outcome is never run again", "[ledger]")
{
    LedgerFixture fixture;
    CHECK(fixture.grants(claim("k", "1")));
    CHECK(fixture.apply(end("k", "1", "unknown")).accepted);
    CHECK_FALSE(fixture.grants(claim("k", "2")));
    CHECK_FALSE(fixture.apply(end("k", "1", "done")).accepted);
}

TEST_CASE("A release that overtakes its claim keeps the late claim from blocking the key", "[ledger]")
{
    LedgerFixture fixture;
    CHECK(fixture.apply(end("k", "1", "notRun")).accepted);
    CHECK_FALSE(fixture.grants(claim("k", "1")));
    CHECK(fixture.grants(claim("k", "2")));
}

TEST_CASE("Entries expire by entry time, in order, and not before", "[ledger]")
{
    LedgerFixture fixture;
    CHECK(fixture.grants(claim("a", "1"), 0));
    CHECK(fixture.grants(claim("b", "2"), 500));
    CHECK_FALSE(fixture.grants(claim("a", "3"), 499));
    CHECK(fixture.ledger.size() == 2);
    CHECK(fixture.grants(claim("a", "4"), 1));
    CHECK(fixture.ledger.size() == 2);
    CHECK_FALSE(fixture.grants(claim("b", "5"), 0));
}

TEST_CASE("A full ledger drops answers oldest first, then refuses; it evicts nothing", "[ledger]")
{
    LedgerFixture fixture({ Millis { 100000 }, 1000, 5000, 2000 });
    for (const std::string key : { "a", "b", "c" }) {
        CHECK(fixture.grants(claim(key, key)));
        CHECK(fixture.apply(end(key, key, "done", std::string(1500, 'x'))).accepted);
    }
    CHECK(fixture.ledger.bytes() <= 5000);
    CHECK_THAT(fixture.apply(claim("a", "2")).body, Contains("done") && !Contains("answer"));
    CHECK_THAT(fixture.apply(claim("c", "2")).body, Contains("answer"));
    int granted = 3;
    for (; fixture.grants(claim("n" + std::to_string(granted), "n" + std::to_string(granted))); ++granted) { }
    CHECK(fixture.apply(claim("more", "m")).errorKind == ErrorKind::LimitExceeded);
    CHECK(fixture.ledger.size() == static_cast<std::size_t>(granted));
    CHECK(fixture.ledger.bytes() <= 5000);
    CHECK_FALSE(fixture.grants(claim("a", "3")));

    LedgerFixture counted({ Millis { 100000 }, 2, 1 << 20, 2000 });
    CHECK(counted.grants(claim("a", "1")));
    CHECK(counted.grants(claim("b", "2")));
    CHECK(counted.apply(claim("c", "3")).errorKind == ErrorKind::LimitExceeded);
}

TEST_CASE("A damaged snapshot of the ledger is refused and changes nothing", "[ledger]")
{
    LedgerFixture fixture;
    fixture.grants(claim("a", "1"));
    fixture.apply(end("a", "1", "done", "answer"));
    const auto whole = fixture.ledger.takeSnapshot();
    LedgerFixture other;
    other.grants(claim("z", "9"));
    for (std::size_t i = 0; i < whole.size(); ++i) {
        auto damaged = whole;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        CHECK_THROWS_AS(other.ledger.restoreSnapshot(damaged), Error);
        CHECK_THROWS_AS(other.ledger.restoreSnapshot(whole.substr(0, i)), Error);
    }
    CHECK_FALSE(other.grants(claim("z", "10")));
    other.ledger.restoreSnapshot(whole);
    CHECK(other.ledger.takeSnapshot() == whole);
    CHECK(other.ledger.bytes() == fixture.ledger.bytes());
}

TEST_CASE("Malformed ledger commands are refused", "[ledger]")
{
    LedgerFixture fixture;
    for (const std::string body : { "", "[]", "{}", R"({"op":"claim"})", R"({"op":"x"})",
             R"({"op":"end","service":"s","key":"k","digest":"d","attempt":"1","state":"begun"})" }) {
        CHECK(fixture.apply({ CommandKind::Ledger, "x", body }).errorKind == ErrorKind::InvalidInput);
    }
    CHECK(fixture.ledger.size() == 0);
}

TEST_CASE("Random histories: no key has two attempts that may run, with or without a restart", "[ledger]")
{
    rc::check([] {
        LedgerFixture fixture({ Millis { 1000000 }, 6, 6000, 300 });
        std::map<std::string, std::string> holder; // Attempt that may have run, by key.
        std::map<std::string, std::string> released; // Attempts that ended with "notRun".
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const auto key = "k" + std::to_string(*rc::gen::inRange(0, 4));
            const auto attempt = key + "-" + std::to_string(*rc::gen::inRange(0, 4));
            const auto action = *rc::gen::inRange(0, 5);
            if (action == 0) {
                LedgerFixture restarted({ Millis { 1000000 }, 6, 6000, 300 });
                restarted.ledger.restoreSnapshot(fixture.ledger.takeSnapshot());
                RC_ASSERT(restarted.ledger.takeSnapshot() == fixture.ledger.takeSnapshot());
                fixture.ledger = ClaimLedger({ Millis { 1000000 }, 6, 6000, 300 });
                fixture.ledger.restoreSnapshot(restarted.ledger.takeSnapshot());
            } else if (action <= 2) {
                if (fixture.grants(claim(key, attempt))) {
                    RC_ASSERT(holder[key].empty() || holder[key] == attempt);
                    holder[key] = attempt;
                }
            } else {
                // As in the client, only the holder releases the key, and only if nothing was sent.
                const std::string state = action == 3 ? "notRun" : "done";
                const auto result = fixture.apply(end(key, attempt, state, std::string(200, 'x')));
                if (result.accepted && state == "notRun" && holder[key] == attempt) {
                    holder[key].clear();
                }
            }
            RC_ASSERT(fixture.ledger.bytes() <= 6000);
            RC_ASSERT(fixture.ledger.size() <= 6u);
        }
    });
}
