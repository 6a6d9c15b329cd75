#include "celeryline/jobs/JobStore.h"

#include "JobKit.h"
#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

const RunnerIncarnation incarnation { "r1", { 1 } };

RunName run(const std::string& job, std::uint32_t step, std::uint32_t index, std::uint32_t number)
{
    return { { job, 0, step, index }, number };
}

JobStore storeWith(const JobSpec& job)
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, { 1 });
    store.apply(SubmitJob { job, { 1 } }, { 1 });
    return store;
}

/// @return a command of a random history; it may arrive too late or not apply.
JobCommand randomCommand(std::mt19937_64& random, const JobId& id, const RunName& run, std::int64_t time)
{
    auto below = [&random](std::uint64_t limit) { return random() % limit; };
    switch (below(12)) {
    case 0:
        return SubmitJob { makeJob(id.text(), { makeStep(2), makeStep(3) }), { time } };
    case 1:
        return RemoveJob { id };
    case 2:
    case 3:
    case 4:
        return StartRun { run, { "r" + std::to_string(below(2)), { 1 } } };
    case 5:
    case 6:
        return EndRun { run, static_cast<RunOutcome>(below(8)), "c" };
    case 7:
        return NoteSilence { { "r" + std::to_string(below(2)), { 1 } }, { time } };
    case 8:
        return NoteContact { { "r" + std::to_string(below(2)), { 1 } } };
    case 9:
    case 10:
        return ForgetCancelledIds { static_cast<std::uint64_t>(time) };
    default:
        return CancelJob { id };
    }
}

} // namespace

// Guards against a resubmission that starts a second job.
TEST_CASE("A job that is submitted again stays one job", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(1) }));
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    store.apply(SubmitJob { makeJob("a", { makeStep(5) }), { 3 } }, { 3 });
    REQUIRE(store.findJob("a")->spec.steps[0].count == 1);
    REQUIRE(store.findTask({ "a", 0, 0, 0 })->runs.size() == 1);
}

// Guards against a step that starts before its dependencies are complete.
TEST_CASE("A step is ready when the steps before it are done", "[jobs]")
{
    auto second = makeStep(1);
    second.after = { 0 };
    auto store = storeWith(makeJob("a", { makeStep(2), second }));
    const auto& spec = store.findJob("a")->spec.steps;
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    store.apply(StartRun { run("a", 0, 1, 1), incarnation }, { 2 });
    store.apply(EndRun { run("a", 0, 0, 1), RunOutcome::Done, "" }, { 3 });
    REQUIRE_FALSE(isStepReady(spec, store.findJob("a")->occurrences.at(0), 1));
    store.apply(EndRun { run("a", 0, 1, 1), RunOutcome::Done, "" }, { 3 });
    REQUIRE(isStepReady(spec, store.findJob("a")->occurrences.at(0), 1));
}

// Guards against a job that is reported as completed while one of its tasks is incomplete.
TEST_CASE("A job is complete with its last task and then releases its steps", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(2) }));
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    store.apply(StartRun { run("a", 0, 1, 1), incarnation }, { 2 });
    store.apply(EndRun { run("a", 0, 0, 1), RunOutcome::Done, "" }, { 3 });
    REQUIRE(store.findJob("a")->phase == JobPhase::Open);
    store.apply(EndRun { run("a", 0, 1, 1), RunOutcome::Done, "" }, { 4 });
    REQUIRE(store.findJob("a")->phase == JobPhase::Completed);
    REQUIRE(store.findJob("a")->spec.steps.empty());
    REQUIRE(store.allocations().empty());
}

// Guards against two runs of one task: a start with an old number, or after the task is done, is void.
TEST_CASE("A start that comes too late changes nothing", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(2) }));
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    store.apply(EndRun { run("a", 0, 0, 1), RunOutcome::Lapsed, "" }, { 3 });
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 4 });
    REQUIRE(store.findTask({ "a", 0, 0, 0 })->runs.empty());
    store.apply(StartRun { run("a", 0, 0, 2), incarnation }, { 5 });
    store.apply(EndRun { run("a", 0, 0, 2), RunOutcome::Done, "" }, { 6 });
    store.apply(StartRun { run("a", 0, 0, 3), incarnation }, { 7 });
    REQUIRE(store.allocations().empty());
}

// Guards against more failed attempts of a task than its queue allows.
TEST_CASE("A task that failed as often as allowed makes its job fail", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(1) }));
    for (std::uint32_t number = 1; number <= 2; ++number) {
        REQUIRE(store.findJob("a")->phase == JobPhase::Open);
        store.apply(StartRun { run("a", 0, 0, number), incarnation }, { 2 });
        store.apply(EndRun { run("a", 0, 0, number), RunOutcome::Failed, "" }, { 3 });
    }
    REQUIRE(store.findJob("a")->phase == JobPhase::Failed);
}

// Guards against expired leases and stops that count as failures.
TEST_CASE("Only failures count as attempts", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(1) }));
    std::uint32_t number = 0;
    for (auto outcome : { RunOutcome::Lapsed, RunOutcome::Stopped, RunOutcome::Lost, RunOutcome::Refused,
             RunOutcome::Broken }) {
        store.apply(StartRun { run("a", 0, 0, ++number), incarnation }, { 2 });
        store.apply(EndRun { run("a", 0, 0, number), outcome, "" }, { 3 });
    }
    REQUIRE(store.findJob("a")->phase == JobPhase::Open);
}

// Guards against a long-running job that ends or runs out of attempts.
TEST_CASE("A long-running task goes on however it ends", "[jobs]")
{
    auto step = makeStep(1);
    step.isLongRunning = true;
    auto store = storeWith(makeJob("a", { step }));
    for (std::uint32_t number = 1; number <= 5; ++number) {
        store.apply(StartRun { run("a", 0, 0, number), incarnation }, { 2 });
        auto outcome = number % 2 == 0 ? RunOutcome::Done : RunOutcome::Failed;
        store.apply(EndRun { run("a", 0, 0, number), outcome, "" }, { 3 });
    }
    REQUIRE(store.findJob("a")->phase == JobPhase::Open);
    store.apply(CancelJob { "a" }, { 9 });
    REQUIRE(store.findJob("a")->phase == JobPhase::Cancelled);
}

// Guards against capacity that is reused while runs of a cancelled job are still being stopped.
TEST_CASE("The runs of a cancelled job are held until they end", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(1) }));
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    store.apply(CancelJob { "a" }, { 3 });
    REQUIRE(store.allocations().at(incarnation).runs.size() == 1);
    REQUIRE(store.findStep({ "a", 0, 0, 0 }) != nullptr);
    store.apply(EndRun { run("a", 0, 0, 1), RunOutcome::Stopped, "" }, { 4 });
    REQUIRE(store.allocations().empty());
    REQUIRE(store.findJob("a")->spec.payload.empty());
}

// Guards against a gang whose tasks resume from different checkpoints.
TEST_CASE("The members of a gang share checkpoint and end", "[jobs]")
{
    auto step = makeStep(2);
    step.isGang = true;
    auto store = storeWith(makeJob("a", { step }));
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    store.apply(StartRun { run("a", 0, 1, 1), incarnation }, { 2 });
    store.apply(EndRun { run("a", 0, 0, 1), RunOutcome::Stopped, "half" }, { 3 });
    store.apply(EndRun { run("a", 0, 1, 1), RunOutcome::Broken, "" }, { 3 });
    REQUIRE(store.findTask({ "a", 0, 0, 1 })->checkpoint == "half");
    store.apply(StartRun { run("a", 0, 0, 2), incarnation }, { 4 });
    store.apply(StartRun { run("a", 0, 1, 2), incarnation }, { 4 });
    store.apply(EndRun { run("a", 0, 1, 2), RunOutcome::Done, "" }, { 5 });
    REQUIRE(store.findJob("a")->phase == JobPhase::Completed);
    REQUIRE(store.allocations().at(incarnation).runs.size() == 1);
}

// Guards against an occurrence that runs twice, and against a job that completes before its last occurrence.
TEST_CASE("A job with occurrences opens each once and completes with the last", "[jobs]")
{
    auto job = makeJob("a", { makeStep(1) });
    job.occurrences = 2;
    auto store = storeWith(job);
    REQUIRE(store.findJob("a")->occurrences.empty());
    store.apply(OpenOccurrence { "a", 0 }, { 1 });
    store.apply(OpenOccurrence { "a", 0 }, { 1 });
    store.apply(OpenOccurrence { "a", 1 }, { 1 });
    for (std::uint32_t occurrence : { 0U, 1U }) {
        REQUIRE(store.findJob("a")->phase == JobPhase::Open);
        RunName name { { "a", occurrence, 0, 0 }, 1 };
        store.apply(StartRun { name, incarnation }, { 2 });
        store.apply(EndRun { name, RunOutcome::Done, "" }, { 3 });
    }
    REQUIRE(store.findJob("a")->phase == JobPhase::Completed);
}

// Guards against activation of an older configuration, or of another one with the same version.
TEST_CASE("Only a higher version replaces the configuration", "[jobs]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration(3) }, {});
    auto same = makeConfiguration(3);
    same.document = "other";
    store.apply(AcceptConfiguration { same }, {});
    store.apply(AcceptConfiguration { makeConfiguration(2) }, {});
    REQUIRE(store.configuration().document == "document 3");
    store.apply(AcceptConfiguration { makeConfiguration(9) }, {});
    REQUIRE(store.configuration().version == 9);
}

// Guards against a replica whose state differs after a restore from a snapshot.
TEST_CASE("A random history gives the same state through a snapshot", "[jobs][random]")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        std::mt19937_64 random(seed);
        auto below = [&random](std::uint64_t limit) { return random() % limit; };
        JobStore direct;
        JobStore restored;
        direct.apply(AcceptConfiguration { makeConfiguration() }, {});
        restored.restoreSnapshot(direct.takeSnapshot());
        for (int i = 0; i < 120; ++i) {
            auto id = std::string(1, static_cast<char>('a' + below(4)));
            RunName name { { id, 0, static_cast<std::uint32_t>(below(2)),
                               static_cast<std::uint32_t>(below(3)) },
                static_cast<std::uint32_t>(below(4)) };
            auto command = randomCommand(random, id, name, i);
            // Commands are encoded and decoded, as on another replica.
            direct.apply(command, { i });
            restored.apply(decodeJobCommand(encodeJobCommand(command)), { i });
            if (below(5) == 0) {
                JobStore again;
                again.restoreSnapshot(restored.takeSnapshot());
                restored = std::move(again);
            }
            INFO("seed " << seed << ", command " << i);
            REQUIRE(direct.takeSnapshot() == restored.takeSnapshot());
            REQUIRE(direct.allocations() == restored.allocations());
            REQUIRE(direct.openJobs() == restored.openJobs());
            REQUIRE(direct.startableJobs() == restored.startableJobs());
            REQUIRE(direct.idleEndedJobs() == restored.idleEndedJobs());
            REQUIRE(direct.unstartedJobs("host/queue/") == restored.unstartedJobs("host/queue/"));
        }
    }
}

// Guards against a replica that can't start with the snapshot that an earlier version wrote.
TEST_CASE("Snapshots without silences, recalls or cancelled ids can be read", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(1) }));
    store.apply(StartRun { run("a", 0, 0, 1), incarnation }, { 2 });
    auto bytes = store.takeSnapshot();
    // The numbers of silences, of recalls, of cancelled ids and of forgotten ones, all of them 0.
    for (std::size_t missing : { 2, 3, 4 }) {
        JobStore restored;
        restored.restoreSnapshot(bytes.substr(0, bytes.size() - missing * sizeof(std::uint64_t)));
        REQUIRE(restored.takeSnapshot() == bytes);
    }
}

// Guards against a job that runs although it was cancelled: its submission arrives after the cancellation.
TEST_CASE("A job that was cancelled before it is submitted is added as cancelled", "[jobs]")
{
    auto store = storeWith(makeJob("a", { makeStep(1) }));
    store.apply(CancelJob { "late" }, { 2 });
    REQUIRE(store.findJob("late") == nullptr); // Nobody has submitted it.
    auto periodic = makeJob("late", { makeStep(2) });
    periodic.occurrences = 3;
    store.apply(SubmitJob { periodic, { 3 } }, { 3 });
    REQUIRE(store.findJob("late")->phase == JobPhase::Cancelled);
    REQUIRE(store.openJobs() == std::set<JobId> { "a" });
    REQUIRE(store.unstartedJobs("host/queue/") == 1);
    store.apply(OpenOccurrence { "late", 0 }, { 4 });
    REQUIRE(store.findJob("late")->occurrences.empty());
    // It remains cancelled when its record is removed and the submission arrives once more.
    store.apply(RemoveJob { "late" }, { 5 });
    store.apply(SubmitJob { periodic, { 3 } }, { 6 });
    REQUIRE(store.findJob("late")->phase == JobPhase::Cancelled);
}

// Guards against a cancellation that a replica forgets by a restart.
TEST_CASE("Cancelled ids of unknown jobs survive a snapshot", "[jobs]")
{
    JobStore store;
    store.apply(CancelJob { "forgotten" }, { 1 });
    store.apply(CancelJob { "late" }, { 2 });
    store.apply(ForgetCancelledIds { 1 }, { 3 });
    JobStore restored;
    restored.restoreSnapshot(store.takeSnapshot());
    REQUIRE(restored.cancelledIds().contains("late"));
    REQUIRE_FALSE(restored.cancelledIds().contains("forgotten"));
    REQUIRE(restored.cancelledIds().newest() == 2);
    restored.apply(SubmitJob { makeJob("late", { makeStep(1) }), { 4 } }, { 4 });
    REQUIRE(restored.openJobs().empty());
}

// Guards against memory and snapshots that grow with cancellations of jobs that nobody submits.
TEST_CASE("Cancellations of unknown jobs are bounded", "[jobs]")
{
    constexpr std::size_t maxSnapshotBytes = 1 << 20;
    JobStore store;
    for (int i = 0; i < 100000; ++i)
        store.apply(CancelJob { std::to_string(i) }, { i });
    REQUIRE(store.cancelledIds().size() == CancelledJobIds::maxSize);
    REQUIRE(store.takeSnapshot().size() < maxSnapshotBytes);
    REQUIRE(store.jobCount() == 0);
}

// Guards against a replica that can't read configurations that its previous version wrote, in which a queue's
// need for advice is one byte.
TEST_CASE("A configuration from before the durations of advice can be read", "[jobs]")
{
    auto configuration = makeConfiguration(2);
    configuration.queues.front().needsAdvice = true;
    auto withoutTiming = encodeJobCommand(AcceptConfiguration { configuration });
    configuration.queues.front().needsAdvice = false;
    auto withoutAdvice = encodeJobCommand(AcceptConfiguration { configuration });
    REQUIRE(withoutTiming.size() == withoutAdvice.size());
    auto decoded = std::get<AcceptConfiguration>(decodeJobCommand(withoutTiming));
    REQUIRE(decoded.configuration.queues.front().needsAdvice);
    REQUIRE(decoded.configuration.queues.front().adviceTiming == AdviceTiming {});
}

// Guards against a new leader that knows nothing of how long the advice service takes.
TEST_CASE("The durations of a queue's advice survive a snapshot", "[jobs]")
{
    auto configuration = makeConfiguration(2);
    configuration.queues.front().needsAdvice = true;
    configuration.queues.front().adviceTiming = { { 400 }, { 50 }, { 3000 } };
    JobStore store;
    store.apply(AcceptConfiguration { configuration }, {});
    JobStore restored;
    restored.restoreSnapshot(store.takeSnapshot());
    const auto& queue = restored.configuration().queues.front();
    REQUIRE(queue.needsAdvice);
    REQUIRE(queue.adviceTiming == AdviceTiming { { 400 }, { 50 }, { 3000 } });
}

// Guards against truncated input that crashes the decoder or is accepted as a command.
TEST_CASE("Truncated command bytes are an error", "[jobs]")
{
    auto bytes = encodeJobCommand(SubmitJob { makeJob("a", { makeStep(2) }), { 5 } });
    for (std::size_t size = 0; size < bytes.size(); ++size)
        REQUIRE_THROWS_AS(decodeJobCommand(bytes.substr(0, size)), Error);
    REQUIRE_THROWS_AS(decodeJobCommand(bytes + "x"), Error);
}

namespace {

/// A configuration of the size used in a large fleet.
QueueConfiguration makeLargeConfiguration()
{
    auto configuration = makeConfiguration();
    auto queue = configuration.queues.front();
    for (int i = 0; i < 2000; ++i) {
        queue.key = "host" + std::to_string(i) + ".example/queue" + std::to_string(i) + "/";
        queue.name = "queue-" + std::to_string(i);
        configuration.queues.push_back(queue);
        configuration.document += R"({"host":")" + queue.key + R"(","service":"pool","timeout_ms":3000},)";
    }
    return configuration;
}

} // namespace

// Guards against configuration changes that saturate the leader's link: with 2,000 queues and four
// uncompressed changes per second to all replicas, jobs were committed late and the leader lost its
// leadership.
TEST_CASE("A large configuration is compressed in a log entry", "[jobs]")
{
    auto configuration = makeLargeConfiguration();
    auto bytes = encodeJobCommand(AcceptConfiguration { configuration });
    REQUIRE(bytes.size() < configuration.document.size() / 2);
    auto decoded = std::get<AcceptConfiguration>(decodeJobCommand(bytes)).configuration;
    REQUIRE(decoded.document == configuration.document);
    REQUIRE(decoded.queues.size() == configuration.queues.size());
    REQUIRE(decoded.queues.back().key == configuration.queues.back().key);
}

// Guards against corrupt input that the decompressor accepts.
TEST_CASE("Damaged bytes of a large command are an error", "[jobs]")
{
    auto bytes = encodeJobCommand(AcceptConfiguration { makeLargeConfiguration() });
    for (std::size_t size = 0; size < bytes.size(); size += 97)
        REQUIRE_THROWS_AS(decodeJobCommand(bytes.substr(0, size)), Error);
    REQUIRE_THROWS_AS(decodeJobCommand(bytes + "x"), Error);
    auto damaged = bytes;
    damaged[damaged.size() / 2] = static_cast<char>(damaged[damaged.size() / 2] ^ 0x55);
    REQUIRE_THROWS_AS(decodeJobCommand(damaged), Error);
}
