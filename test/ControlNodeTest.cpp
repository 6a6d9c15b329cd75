#include "celeryline/control/ControlNode.h"

#include "JobKit.h"
#include "MemoryFileSystem.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr kj::Duration waitTimeout = 20 * kj::SECONDS;

/// A single control process on the test's event loop.
class SingleNode {
public:
    SingleNode(kj::AsyncIoContext& io, MemoryFileSystem& files, const std::string& address, bool isFirstStart)
        : m_io(io)
        , m_node(options(address, isFirstStart), io.provider->getTimer(), io.provider->getNetwork(), m_clock,
              files)
    {
        // A process forms the log when it receives an introduction.
        ControlLinks links(io.provider->getTimer(), io.provider->getNetwork());
        links.to(address).introduce({}, { 1000 }).wait(io.waitScope);
    }

    ControlNode& node() { return m_node; }

    /// Runs the event loop until a condition holds or a timeout expires.
    /// @return whether the condition holds.
    template <typename Condition> bool waitFor(Condition condition)
    {
        auto& timer = m_io.provider->getTimer();
        auto end = timer.now() + waitTimeout;
        while (!condition() && timer.now() < end)
            timer.afterDelay(5 * kj::MILLISECONDS).wait(m_io.waitScope);
        return condition();
    }

private:
    static ControlNodeOptions options(const std::string& address, bool isFirstStart)
    {
        ControlNodeOptions options;
        options.address = address;
        options.seeds = { address };
        options.isFirstStart = isFirstStart;
        options.voters = 1;
        options.directory = "data";
        return options;
    }

    kj::AsyncIoContext& m_io;
    SystemClock m_clock;
    ControlNode m_node;
};

} // namespace

// Guards against a log round that starts while the previous one is still waiting for the disk: entries were
// written twice, and the process terminated.
TEST_CASE("Proposals that arrive during a disk write are kept in order", "[control]")
{
    MemoryFileSystem files;
    files.setSyncTime(std::chrono::milliseconds(4));
    auto io = kj::setupAsyncIo();
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    constexpr int jobs = 300;
    {
        SingleNode single(io, files, address, true);
        REQUIRE(single.waitFor([&] { return single.node().isLeading(); }));
        int committed = 0;
        for (int i = 0; i < jobs; ++i) {
            auto job = makeJob("job-" + std::to_string(i), { makeStep(1) });
            // The cancellation is proposed from within a callback of the log.
            single.node().master().request(SubmitJob { job, {} }, [&, i](RequestOutcome outcome) {
                committed += outcome == RequestOutcome::Done ? 1 : 0;
                single.node().master().request(
                    CancelJob { "job-" + std::to_string(i) }, [](RequestOutcome) {});
            });
            if (i % 10 == 0)
                io.provider->getTimer().afterDelay(kj::MILLISECONDS).wait(io.waitScope);
        }
        REQUIRE(
            single.waitFor([&] { return committed == jobs && single.node().store().openJobs().empty(); }));
    }
    // A restarted process recovers all jobs from the disk.
    SingleNode restarted(io, files, address, false);
    REQUIRE(restarted.waitFor([&] { return restarted.node().store().jobCount() == jobs; }));
}

// Guards against metrics about voters that no process fills.
TEST_CASE("A control process reports its voters and elections", "[control]")
{
    MemoryFileSystem files;
    auto io = kj::setupAsyncIo();
    const ReservedAddress reserved;
    SingleNode single(io, files, reserved.text(), true);
    REQUIRE(single.waitFor([&] { return single.node().isLeading(); }));
    REQUIRE(single.waitFor([&] { return single.node().voterSummary().changes == 1; }));
    auto summary = single.node().voterSummary();
    REQUIRE(summary.voters == 1);
    REQUIRE(summary.majority == 1);
    REQUIRE(summary.reached == 1);
    REQUIRE(summary.electionRounds >= 1);
    REQUIRE(summary.longestSilence == Millis {});
}
