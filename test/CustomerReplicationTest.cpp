// Tests of customers in replicated commands and snapshots.
#include "JobKit.h"

#include "celeryline/base/Error.h"
#include "celeryline/jobs/JobCommand.h"
#include "celeryline/jobs/JobStore.h"

#include <catch2/catch.hpp>

#include <string>
#include <variant>

using namespace celeryline;
using namespace celeryline::test;

namespace {

// Bytes written by the last version without customers (06803c5): configuration 3, whose only queue needs
// advice with durations; a submission of job "a"; a cancellation of the unknown job "late"; and the snapshot
// of a store that has applied these three.
const std::string oldAccept
    = "0100000000030000000000000001000000000000000b00000000000000686f73742f71756575652f000000000000"
      "00000400000000000000706f6f6c0000000002000000000000000000f03fb80b0000000000000000000000000000"
      "0290010000000000003200000000000000b80b00000000000001000000000000000400000000000000706f6f6c01"
      "000a00000000000000646f63756d656e742033";
const std::string oldSubmit
    = "0101000000000000000000006100000000000000000b00000000000000686f73742f71756575652f0c0000000000"
      "00007061796c6f6164206f662061010000000000000001000000e803000000000000e80300000000000000000000"
      "00000000f40100000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000050000000000"
      "0000";
const std::string oldCancel = "0102000000000000006574616c0000000000000000";
const std::string oldSnapshot
    = "01030000000000000001000000000000000b00000000000000686f73742f71756575652f00000000000000000400"
      "000000000000706f6f6c0000000002000000000000000000f03fb80b000000000000000000000000000002900100"
      "00000000003200000000000000b80b00000000000001000000000000000400000000000000706f6f6c01000a0000"
      "0000000000646f63756d656e74203300000000000000000000000000000000010000000000000000000000000000"
      "6100000000000000000b00000000000000686f73742f71756575652f0c000000000000007061796c6f6164206f66"
      "2061010000000000000001000000e803000000000000e8030000000000000000000000000000f401000000000000"
      "00000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000000000000000000000000000000000005000000000000000000000000000000"
      "01000000000000000000000001000000000000000100000000000000000000000000000000000000000000000000"
      "00000000000000000000000000000001000000000000000000000000000000000000000000000001000000000000"
      "00000000006574616c00000000000000000000000000000000";

std::string fromHex(const std::string& text)
{
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2)
        bytes += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, base));
    return bytes;
}

QueueConfiguration configurationWith(std::uint64_t version, const std::vector<CustomerSettings>& customers)
{
    auto configuration = makeConfiguration(version);
    configuration.customers = customers;
    configuration.queues.front().requiresKey = true;
    return configuration;
}

const CustomerSettings ann { "ann", { "key-ann" }, 2.5, 1, { 16000, 4096, 2 } };
const CustomerSettings bob { "bob", { "key-bob1", "key-bob2" }, 1, 0, {} };

JobSpec jobOf(const std::string& id, const std::string& customer)
{
    auto job = makeJob(id, { makeStep(1) });
    job.customer = customer;
    return job;
}

void applyStored(JobStore& store, const JobCommand& command)
{
    store.apply(decodeJobCommand(encodeJobCommand(command)), { 1 });
}

} // namespace

// Guards against a replica that can't read the log of the version before customers.
TEST_CASE("Log entries from before customers can be read", "[jobs][customers]")
{
    JobStore store;
    for (const auto* bytes : { &oldAccept, &oldSubmit, &oldCancel })
        store.apply(decodeJobCommand(fromHex(*bytes)), { 6 });
    const auto& configuration = store.configuration();
    REQUIRE(configuration.version == 3);
    REQUIRE(configuration.customers.empty());
    REQUIRE_FALSE(configuration.queues.front().requiresKey);
    REQUIRE(configuration.queues.front().adviceTiming == AdviceTiming { { 400 }, { 50 }, { 3000 } });
    REQUIRE(store.findJob("a")->spec.customer.empty());
    REQUIRE(store.cancelledIds().contains("late"));
    // Without customers nothing changes in the format.
    REQUIRE(encodeJobCommand(decodeJobCommand(fromHex(oldAccept))) == fromHex(oldAccept));
    REQUIRE(encodeJobCommand(decodeJobCommand(fromHex(oldSubmit))) == fromHex(oldSubmit));
    REQUIRE(encodeJobCommand(decodeJobCommand(fromHex(oldCancel))) == fromHex(oldCancel));
}

// Guards against a replica that can't start from a snapshot of the version before customers, and against one
// that then ignores customers.
TEST_CASE("A snapshot from before customers can be read", "[jobs][customers]")
{
    JobStore store;
    store.restoreSnapshot(fromHex(oldSnapshot));
    REQUIRE(store.configuration().version == 3);
    REQUIRE(store.configuration().customers.empty());
    REQUIRE(store.apiKeys().size() == 0);
    REQUIRE(store.openJobs() == std::set<JobId> { "a" });
    REQUIRE(store.findJob("a")->spec.customer.empty());
    REQUIRE(store.cancelledIds().contains("late"));
    REQUIRE(store.takeSnapshot() == fromHex(oldSnapshot));
    applyStored(store, AcceptConfiguration { configurationWith(4, { ann }) });
    REQUIRE(*store.apiKeys().find("key-ann") == "ann");
    REQUIRE(store.configuration().queues.front().requiresKey);
}

// Guards against a field of a customer, or the customer of a job, that a follower doesn't get.
TEST_CASE("Customers are part of log entries", "[jobs][customers]")
{
    auto accept = std::get<AcceptConfiguration>(
        decodeJobCommand(encodeJobCommand(AcceptConfiguration { configurationWith(1, { ann, bob }) })));
    REQUIRE(accept.configuration.customers == std::vector<CustomerSettings> { ann, bob });
    REQUIRE(accept.configuration.queues.front().requiresKey);
    auto submit
        = std::get<SubmitJob>(decodeJobCommand(encodeJobCommand(SubmitJob { jobOf("a", "ann"), {} })));
    REQUIRE(submit.job.customer == "ann");
    // A configuration that is large enough to be compressed.
    auto large = configurationWith(2, { ann, bob });
    large.document = std::string(100000, 'x');
    accept = std::get<AcceptConfiguration>(decodeJobCommand(encodeJobCommand(AcceptConfiguration { large })));
    REQUIRE(accept.configuration.customers == large.customers);
}

// Guards against damaged bytes that are taken for customers, or that end the process.
TEST_CASE("Damaged customer fields are reported as corrupt", "[jobs][customers]")
{
    auto bytes = encodeJobCommand(SubmitJob { jobOf("a", "ann"), {} });
    const auto oldSize = encodeJobCommand(SubmitJob { jobOf("a", ""), {} }).size();
    for (auto size = oldSize + 1; size < bytes.size(); ++size)
        REQUIRE_THROWS_AS(decodeJobCommand(bytes.substr(0, size)), Error);
    REQUIRE_THROWS_AS(decodeJobCommand(bytes + "x"), Error);
    JobStore store;
    store.apply(AcceptConfiguration { configurationWith(1, { ann }) }, {});
    store.apply(SubmitJob { jobOf("known", "ann"), {} }, {});
    auto snapshot = store.takeSnapshot();
    JobStore restored;
    REQUIRE_THROWS_AS(restored.restoreSnapshot(snapshot.substr(0, snapshot.size() - 1)), Error);
    // The last occurrence of an id names a customer's job; ids are stored in reverse.
    snapshot.replace(snapshot.rfind("nwonk"), 5, "rehto");
    REQUIRE_THROWS_AS(restored.restoreSnapshot(snapshot), Error);
    REQUIRE(restored.jobCount() == 0);
}

// Guards against a restarted replica, which may become the leader, that accepts a removed key or forgets
// whose a job is.
TEST_CASE("A replica that starts from a snapshot knows which keys were removed", "[jobs][customers]")
{
    JobStore store;
    applyStored(store, AcceptConfiguration { configurationWith(1, { ann, bob }) });
    applyStored(store, SubmitJob { jobOf("a", "ann"), {} });
    applyStored(store, SubmitJob { jobOf("none", ""), {} });
    auto withoutKey = bob;
    withoutKey.apiKeys = { "key-bob2", "key-ann" };
    JobStore restored;
    restored.restoreSnapshot(store.takeSnapshot());
    REQUIRE(*restored.apiKeys().find("key-bob1") == "bob");
    // The version that removes and moves keys, once in the log after the snapshot and once within one.
    for (int i = 0; i < 2; ++i) {
        applyStored(restored, AcceptConfiguration { configurationWith(2, { withoutKey }) });
        applyStored(
            restored, AcceptConfiguration { configurationWith(1, { ann, bob }) }); // Late and ignored.
        REQUIRE(restored.apiKeys().find("key-bob1") == nullptr);
        REQUIRE(*restored.apiKeys().find("key-ann") == "bob");
        REQUIRE(restored.configuration().customers == std::vector<CustomerSettings> { withoutKey });
        REQUIRE(restored.findJob("a")->spec.customer == "ann");
        REQUIRE(restored.findJob("none")->spec.customer.empty());
        auto snapshot = restored.takeSnapshot();
        restored = JobStore();
        restored.restoreSnapshot(snapshot);
        REQUIRE(restored.takeSnapshot() == snapshot);
    }
}

// Guards against replicas that differ in which cancellations they recorded: after a log with changing
// customers, a restart from a snapshot at any point must give the same state.
TEST_CASE("The customers of cancelled ids are part of log entries and snapshots", "[jobs][customers]")
{
    auto cancel = std::get<CancelJob>(decodeJobCommand(encodeJobCommand(CancelJob { "a", "ann" })));
    REQUIRE(cancel.customer == "ann");
    std::vector<JobCommand> log { CancelJob { "early" }, AcceptConfiguration { makeConfiguration(1) },
        AcceptConfiguration { configurationWith(2, { ann, bob }) } };
    for (std::size_t i = 0; i < CancelledJobIds::maxSize / 2; ++i)
        log.emplace_back(CancelJob { "a" + std::to_string(i), "ann" });
    log.emplace_back(CancelJob { "b", "bob" });
    log.emplace_back(CancelJob { "n" });
    log.emplace_back(AcceptConfiguration { configurationWith(3, { bob }) });
    log.emplace_back(CancelJob { "a", "ann" }); // The customer was removed after the request was checked.
    log.emplace_back(ForgetCancelledIds { 2 });
    log.emplace_back(AcceptConfiguration { makeConfiguration(4) });
    log.emplace_back(CancelJob { "z" });
    JobStore store;
    JobStore restarted;
    for (std::size_t i = 0; i < log.size(); ++i) {
        applyStored(store, log[i]);
        applyStored(restarted, log[i]);
        bool isRestart = i < 10 || i + 10 > log.size() || i % 4000 == 0;
        if (!isRestart)
            continue;
        auto snapshot = restarted.takeSnapshot();
        restarted = JobStore();
        restarted.restoreSnapshot(snapshot);
        REQUIRE(restarted.takeSnapshot() == store.takeSnapshot());
    }
    const auto& cancelled = store.cancelledIds();
    REQUIRE(cancelled.sizeOf("ann") == CancelledJobIds::partSize(2)); // One of them forgotten, one added.
    REQUIRE(cancelled.sizeOf("bob") == 1);
    REQUIRE(cancelled.sizeOf("") == 2);
    for (const auto* id : { "b", "n", "z", "a" })
        REQUIRE(cancelled.contains(id));
    REQUIRE_FALSE(cancelled.contains("early"));
}

// Guards against replicas that differ after an upgrade, and against a version that changes after it was
// accepted.
TEST_CASE("The same version is accepted again only to add its customers", "[jobs][customers]")
{
    JobStore store;
    applyStored(store, AcceptConfiguration { makeConfiguration(2) });
    auto other = configurationWith(2, { ann });
    other.document = "another document";
    applyStored(store, AcceptConfiguration { other });
    applyStored(store, AcceptConfiguration { configurationWith(1, { ann }) });
    REQUIRE(store.apiKeys().size() == 0);
    applyStored(store, AcceptConfiguration { configurationWith(2, { ann }) });
    REQUIRE(*store.apiKeys().find("key-ann") == "ann");
    applyStored(store, AcceptConfiguration { configurationWith(2, { bob }) });
    applyStored(store, AcceptConfiguration { makeConfiguration(2) });
    REQUIRE(store.configuration().customers == std::vector<CustomerSettings> { ann });
}

// Guards against customers of an earlier version that stay in force after a version without customers.
TEST_CASE("A configuration without customers removes all keys", "[jobs][customers]")
{
    JobStore store;
    applyStored(store, AcceptConfiguration { configurationWith(1, { ann }) });
    applyStored(store, AcceptConfiguration { makeConfiguration(2) });
    REQUIRE(store.apiKeys().size() == 0);
    JobStore restored;
    restored.restoreSnapshot(store.takeSnapshot());
    REQUIRE(restored.apiKeys().size() == 0);
    REQUIRE_FALSE(restored.configuration().queues.front().requiresKey);
}
