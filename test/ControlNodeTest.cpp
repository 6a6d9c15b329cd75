#include "celeryline/control/ControlNode.h"

#include "JobKit.h"
#include "MemoryFileSystem.h"
#include "ReservedAddress.h"
#include "SingleNode.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

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

// Guards against a process that shuts down without telling the others, so that its vote is only replaced
// after its end.
TEST_CASE("A control process that resigns announces that it is leaving", "[control]")
{
    constexpr Millis introductionTimeout { 1000 };
    MemoryFileSystem files;
    auto io = kj::setupAsyncIo();
    const ReservedAddress reserved;
    SingleNode single(io, files, reserved.text(), true);
    ControlLinks links(io.provider->getTimer(), io.provider->getNetwork());
    auto& link = links.to(reserved.text());
    auto introduction = link.introduce({}, introductionTimeout).wait(io.waitScope).result;
    CHECK_FALSE(introduction.isLeaving);
    CHECK(introduction.dataCentre == SingleNode::dataCentre);
    single.node().resign();
    CHECK(link.introduce({}, introductionTimeout).wait(io.waitScope).result.isLeaving);
}

// Guards against a control process that ends because an introduction named an address that can't be parsed.
TEST_CASE("An introduction with malformed addresses doesn't end a control process", "[control]")
{
    constexpr Millis introductionTimeout { 1000 };
    constexpr kj::Duration longerThanIntroductionInterval = 2500 * kj::MILLISECONDS;
    MemoryFileSystem files;
    auto io = kj::setupAsyncIo();
    auto& timer = io.provider->getTimer();
    const ReservedAddress reserved;
    SingleNode single(io, files, reserved.text(), true);
    bool hasFailed = false;
    auto failure = single.node()
                       .untilFailed()
                       .catch_([&](kj::Exception&&) { hasFailed = true; })
                       .eagerlyEvaluate(nullptr);
    REQUIRE(single.waitFor([&] { return single.node().isLeading(); }));
    Introduction malformed;
    malformed.address = "not an address";
    malformed.storageId = "storage";
    malformed.members = { "", "127.0.0.1:99999", "host.invalid:7060", "10.0.0.1", "10.0.0.1:port", ":" };
    ControlLinks links(timer, io.provider->getNetwork());
    REQUIRE(links.to(reserved.text()).introduce(malformed, introductionTimeout).wait(io.waitScope).hasResult);
    timer.afterDelay(longerThanIntroductionInterval).wait(io.waitScope);
    CHECK_FALSE(hasFailed);
    CHECK(single.node().isLeading());
    bool isCommitted = false;
    single.node().master().request(SubmitJob { makeJob("after", { makeStep(1) }), {} },
        [&](RequestOutcome outcome) { isCommitted = outcome == RequestOutcome::Done; });
    CHECK(single.waitFor([&] { return isCommitted; }));
}

// Guards against malformed addresses that stay known: each process tried them and passed them on to the
// others until its restart.
TEST_CASE("A control process doesn't learn malformed addresses from introductions", "[control]")
{
    constexpr Millis introductionTimeout { 1000 };
    const std::string wellFormed = "127.0.0.1:1";
    MemoryFileSystem files;
    auto io = kj::setupAsyncIo();
    const ReservedAddress reserved;
    SingleNode single(io, files, reserved.text(), true);
    ControlLinks links(io.provider->getTimer(), io.provider->getNetwork());
    auto& link = links.to(reserved.text());
    Introduction malformed;
    malformed.address = "not an address";
    malformed.storageId = "storage";
    malformed.members = { "", "127.0.0.1:99999", "host.invalid:7060", wellFormed, "10.0.0.1:port" };
    malformed.members.push_back("\xff\xfe:1"); // Not UTF-8.
    malformed.members.push_back(std::string(63, 'x') + "\xc3\xa9:1"); // The log line cuts a character.
    malformed.members.push_back(std::string(100000, 'y'));
    auto answer = link.introduce(malformed, introductionTimeout).wait(io.waitScope);
    REQUIRE(answer.hasResult);
    CHECK(answer.result.members == std::vector<std::string> { reserved.text(), wellFormed });
}

namespace {

/// Commits a job, on a disk that has just become full.
class FailingHandler final : public RequestHandler {
public:
    FailingHandler(ControlNode& node, MemoryFileSystem& files)
        : m_node(node)
        , m_files(files)
    {
    }

    kj::Promise<ForwardedResponse> handle(const ForwardedRequest&) override
    {
        m_files.setFreeBytes(0);
        auto paf = kj::newPromiseAndFulfiller<bool>();
        auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<bool>>>(kj::mv(paf.fulfiller));
        SubmitJob command { makeJob("job", { makeStep(1) }), {} };
        m_node.master().request(std::move(command), [fulfiller](RequestOutcome outcome) {
            (*fulfiller)->fulfill(outcome == RequestOutcome::Unknown);
        });
        return paf.promise.then([](bool isUnknown) {
            ForwardedResponse response;
            response.outcome = isUnknown ? ForwardOutcome::Unknown : ForwardOutcome::Answered;
            return response;
        });
    }

private:
    ControlNode& m_node;
    MemoryFileSystem& m_files;
};

} // namespace

// Guards against a caller that is told that its request was not carried out, although the entry may still be
// committed: the leader lost its term while it committed, and found no other one.
TEST_CASE("A request that was proposed and found no other leader has an unknown outcome", "[control]")
{
    MemoryFileSystem files;
    auto io = kj::setupAsyncIo();
    const ReservedAddress reserved;
    SingleNode single(io, files, reserved.text(), true);
    REQUIRE(single.waitFor([&] { return single.node().isLeading(); }));
    FailingHandler handler(single.node(), files);
    single.node().setHandler(handler);
    ForwardedRequest request;
    request.method = "PUT";
    auto outcome = ForwardOutcome::Answered;
    auto answered = single.node().request(std::move(request), { 400 });
    answered.then([&](ForwardedResponse&& response) { outcome = response.outcome; }).wait(io.waitScope);
    REQUIRE(outcome == ForwardOutcome::Unknown);
}
