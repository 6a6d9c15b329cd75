#include "celeryline/customers/CredentialGate.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace celeryline;
using Outcome = CredentialGate::Outcome;

namespace {

const std::string queue = "jobs.example/work/";
const std::string publicQueue = "jobs.example/open/";

/// A gate in front of a leader that responds after a round trip, on a simulated clock.
class GateFixture {
public:
    explicit GateFixture(const CredentialGateOptions& options = {})
        : gate("secret", options)
    {
    }

    /// Sends a request. The leader decides when it arrives, half a round trip later.
    /// @return whether it was forwarded.
    bool send(const std::string& key, const std::string& target = queue)
    {
        auto ticket = gate.admit(key, target, now);
        if (!ticket)
            return false;
        m_inFlight.push_back({ now + roundTrip, *ticket, key, target });
        return true;
    }

    void runFor(Millis duration)
    {
        auto end = now + duration;
        for (; now < end; now = now + Millis { 1 })
            deliver();
        deliver();
    }

    CredentialGate gate;
    Millis now { 1000000 };
    Millis roundTrip { 10 };
    std::set<std::string> validKeys { "good" };
    std::size_t rejected = 0; ///< Responses 401 of the leader.

private:
    struct Request {
        Millis arrivesAt;
        CredentialGate::Ticket ticket;
        std::string key;
        std::string target;
    };

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.front().arrivesAt <= now) {
            auto request = m_inFlight.front();
            m_inFlight.pop_front();
            bool isAccepted = request.target == publicQueue || validKeys.count(request.key) != 0;
            rejected += isAccepted ? 0 : 1;
            gate.settle(request.ticket, isAccepted ? Outcome::Accepted : Outcome::Rejected, now);
        }
    }

    std::deque<Request> m_inFlight;
};

/// Sends requests with a new invalid key each, and one with an accepted key and one to a public queue per
/// millisecond.
/// @return the number of these that weren't forwarded.
int flood(GateFixture& f, Millis duration, int invalidPerMillisecond)
{
    int refused = 0;
    int number = 0;
    for (Millis end = f.now + duration; f.now < end;) {
        for (int i = 0; i < invalidPerMillisecond; ++i)
            f.send("invalid" + std::to_string(number++));
        refused += f.send("good") ? 0 : 1;
        refused += f.send("", publicQueue) ? 0 : 1;
        refused += f.send("any", publicQueue) ? 0 : 1;
        f.runFor({ 1 });
    }
    return refused;
}

} // namespace

// Guards against clients with invalid keys that occupy the leader, and against refusing other callers for it.
TEST_CASE("A flood of distinct invalid keys costs the leader the rate of the bucket", "[customers]")
{
    const CredentialGateOptions options;
    GateFixture f;
    f.send("good");
    f.send("", publicQueue);
    f.runFor({ 100 });
    constexpr int invalidPerMillisecond = 5;
    REQUIRE(flood(f, { 20000 }, invalidPerMillisecond) == 0);
    f.runFor({ 100 });
    auto bound = options.capacity + 20.1 * options.refillPerSecond
        + static_cast<double>(invalidPerMillisecond * f.roundTrip.count);
    REQUIRE(static_cast<double>(f.rejected) <= bound);
    REQUIRE(static_cast<double>(f.rejected) >= 20 * options.refillPerSecond); // It isn't starved either.
}

// Guards against an invalid key that many requests present at once, so that they share a token.
TEST_CASE("A flood of requests with one invalid key costs the leader the rate of the bucket", "[customers]")
{
    const CredentialGateOptions options;
    GateFixture f;
    f.send("good");
    f.runFor({ 100 });
    constexpr int perMillisecond = 20;
    constexpr int duration = 60000;
    for (int i = 0; i < duration; ++i) {
        for (int k = 0; k < perMillisecond; ++k)
            f.send("invalid");
        REQUIRE(f.send("good"));
        f.runFor({ 1 });
    }
    auto bound = options.capacity + 60.1 * options.refillPerSecond
        + static_cast<double>(perMillisecond * f.roundTrip.count) + options.requestsPerToken;
    REQUIRE(static_cast<double>(f.rejected) <= bound);
}

// Guards against clients that evade the limit by leaving before the response.
TEST_CASE("Requests that are abandoned cost as much as rejected ones while there are such", "[customers]")
{
    CredentialGate gate("secret");
    auto first = gate.admit("invalid", queue, { 0 });
    gate.settle(*first, Outcome::Rejected, { 1 });
    int forwarded = 0;
    for (int i = 0; i < 10000; ++i) {
        if (auto ticket = gate.admit("invalid" + std::to_string(i), queue, { 2 })) {
            ++forwarded;
            gate.settle(*ticket, Outcome::Abandoned, { 2 });
        }
    }
    REQUIRE(forwarded <= static_cast<int>(CredentialGateOptions {}.capacity));
    REQUIRE(gate.timeToToken({ 2 }) > Millis {});
    REQUIRE(gate.timeToToken({ 60000 }) == Millis {});
}

// Guards against refusals in deployments without customers, where callers may leave early or all come at
// once.
TEST_CASE("Nothing is refused while the leader rejects nothing", "[customers]")
{
    CredentialGate gate("secret");
    for (int i = 0; i < 20000; ++i) {
        auto ticket = gate.admit("", "jobs.example/queue" + std::to_string(i) + "/", { i / 100 });
        REQUIRE(ticket);
        if (i % 2 == 0)
            gate.settle(*ticket, i % 4 == 0 ? Outcome::Abandoned : Outcome::Unknown, { i / 100 });
    }
}

// Guards against refusals at a start, also when some callers still use a removed key.
TEST_CASE("A start of thousands of callers with tens of keys is never refused", "[customers]")
{
    constexpr int callers = 4000;
    constexpr int keys = 40;
    constexpr int outdatedCallers = 20;
    GateFixture f;
    f.roundTrip = { 200 };
    for (int key = 0; key < keys; ++key)
        f.validKeys.insert("key" + std::to_string(key));
    for (int i = 0; i < outdatedCallers; ++i)
        REQUIRE(f.send("removed"));
    f.runFor({ 250 });
    REQUIRE(f.rejected == outdatedCallers);
    // All begin before the first response.
    for (int i = 0; i < callers; ++i)
        REQUIRE(f.send("key" + std::to_string(i % keys)));
    for (int i = 0; i < outdatedCallers; ++i)
        REQUIRE(f.send("removed"));
    f.runFor({ 250 });
    REQUIRE(f.gate.rememberedKeys() == keys);
    for (int i = 0; i < callers; ++i)
        REQUIRE(f.send("key" + std::to_string(i % keys)));
}

// Guards against a key that stays accepted after its removal, and against one that stays out after its
// return.
TEST_CASE("An accepted key that is withdrawn and added again is served again", "[customers]")
{
    GateFixture f;
    REQUIRE(f.send("good"));
    f.runFor({ 20 });
    REQUIRE(f.gate.rememberedKeys() == 1);
    f.validKeys.clear();
    REQUIRE(f.send("good")); // The gate never rejects a key by itself.
    f.runFor({ 20 });
    REQUIRE(f.rejected == 1);
    REQUIRE(f.gate.rememberedKeys() == 0);
    // Callers repeat their requests until the bucket is empty.
    for (int i = 0; i < 10000; ++i) {
        f.send("good");
        f.runFor({ 1 });
    }
    REQUIRE_FALSE(f.send("good"));
    f.validKeys.insert("good");
    f.runFor(f.gate.timeToToken(f.now));
    REQUIRE(f.send("good"));
    f.runFor({ 20 });
    REQUIRE(f.gate.rememberedKeys() == 1);
    for (int i = 0; i < 1000; ++i)
        REQUIRE(f.send("good"));
}

// Guards against invalid keys that become known by a public queue, which accepts any key.
TEST_CASE("A key that a public queue accepts is unknown on other queues", "[customers]")
{
    GateFixture f;
    f.send("invalid");
    f.runFor({ 20 });
    std::size_t forwarded = 0;
    for (int i = 0; i < 5000; ++i) {
        auto key = "invalid" + std::to_string(i);
        f.send(key, publicQueue);
        f.runFor({ 10 });
        forwarded += f.send(key) ? 1 : 0;
        f.runFor({ 10 });
    }
    REQUIRE(f.rejected == forwarded + 1);
    REQUIRE(forwarded <= 512 + 50 * 101);
    // Nor do they displace remembered keys, once the queue is known to need none.
    REQUIRE(f.send("good"));
    f.send("", publicQueue);
    f.runFor({ 20 });
    auto before = f.gate.rememberedKeys();
    for (int i = 0; i < 5000; ++i)
        REQUIRE(f.send("other" + std::to_string(i), publicQueue));
    f.runFor({ 20 });
    REQUIRE(f.gate.rememberedKeys() == before);
}

// Guards against a queue that is no longer public and through which invalid keys pass without a token.
TEST_CASE("A queue that rejects a request isn't known as public any more", "[customers]")
{
    CredentialGate gate("secret");
    gate.settle(*gate.admit("", queue, { 0 }), Outcome::Accepted, { 0 });
    REQUIRE(gate.rememberedQueues() == 1);
    auto ticket = gate.admit("any", queue, { 1 });
    REQUIRE(ticket->isKnown);
    gate.settle(*ticket, Outcome::Rejected, { 2 });
    REQUIRE(gate.rememberedQueues() == 0);
    REQUIRE_FALSE(gate.admit("any", queue, { 3 })->isKnown);
}

// Guards against memory that grows with the number of credentials.
TEST_CASE("Remembered credentials are bounded and the most recently used are kept", "[customers]")
{
    CredentialGateOptions options;
    options.maxKeys = 100;
    options.maxQueues = 10;
    CredentialGate gate("secret", options);
    auto accept = [&gate](const std::string& key, const std::string& target) {
        auto ticket = gate.admit(key, target, { 0 });
        gate.settle(*ticket, Outcome::Accepted, { 0 });
        return ticket->isKnown;
    };
    accept("used", queue);
    for (int i = 0; i < 1000; ++i) {
        accept("key" + std::to_string(i), queue);
        accept("", "host/" + std::to_string(i) + "/");
        REQUIRE(accept("used", queue));
    }
    REQUIRE(gate.rememberedKeys() == options.maxKeys);
    REQUIRE(gate.rememberedQueues() == options.maxQueues);
    REQUIRE_FALSE(accept("key0", queue));
}

// Guards against digests that are equal in two processes, from which a key could be guessed, and against keys
// and queues that are divided differently.
TEST_CASE("Credentials are digests with a secret", "[customers]")
{
    CredentialGate gate("secret");
    CredentialGate other("other secret");
    auto credential = [](CredentialGate& from, const std::string& key, const std::string& target) {
        return from.admit(key, target, {})->credential;
    };
    REQUIRE(credential(gate, "key", queue) == credential(gate, "key", queue));
    REQUIRE(credential(gate, "key", queue) != credential(other, "key", queue));
    REQUIRE(credential(gate, "key", queue) != credential(gate, "keyj", queue.substr(1)));
    REQUIRE(credential(gate, "key", queue) != credential(gate, "", queue));
    REQUIRE(credential(gate, "", "key") != credential(gate, "key", ""));
}

// Guards against tokens that are lost or gained over many requests with all outcomes.
TEST_CASE("Tokens of settled requests come back", "[customers]")
{
    const CredentialGateOptions options;
    CredentialGate gate("secret");
    gate.settle(*gate.admit("x", queue, {}), Outcome::Rejected, {});
    std::vector<CredentialGate::Ticket> tickets;
    for (int i = 0; i < 3000; ++i) {
        if (auto ticket = gate.admit("key" + std::to_string(i % 100), queue, {}))
            tickets.push_back(*ticket);
    }
    REQUIRE(tickets.size() == 3000);
    REQUIRE(gate.tokens() == options.capacity - 1 - 100 * 2); // 30 requests each, 16 share a token.
    for (const auto& ticket : tickets)
        gate.settle(ticket, Outcome::Unknown, {});
    REQUIRE(gate.tokens() == options.capacity - 1);
    REQUIRE(gate.rememberedKeys() == 0);
}
