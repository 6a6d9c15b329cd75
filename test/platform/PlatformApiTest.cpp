#include "platform/PlatformApi.h"

#include "SingleApi.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;
using namespace celeryline::platform;
using namespace celeryline::test;

namespace {

const std::string jobPath = "/work/00000000000000c1";

} // namespace

// Guards against routing a request to a queue with a shorter matching prefix or of another host.
TEST_CASE("A request is routed to the queue with the longest matching path prefix", "[platform]")
{
    QueueConfiguration configuration;
    for (const auto* key : { "a.example/x/", "a.example/x/y/", "aa.example/x/y/z/" }) {
        QueueSettings queue;
        queue.key = key;
        configuration.queues.push_back(queue);
    }
    REQUIRE(findQueueByPath(configuration, "a.example", "/x/y/id")->key == "a.example/x/y/");
    REQUIRE(findQueueByPath(configuration, "a.example", "/x/id")->key == "a.example/x/");
    REQUIRE(findQueueByPath(configuration, "a.example", "/z/id") == nullptr);
    REQUIRE(findQueueByPath(configuration, "b.example", "/x/id") == nullptr);
    REQUIRE(findQueueByPath(configuration, "a", "/x/id") == nullptr);
}

// Guards against a job that runs for good although its caller was told that it is cancelled: the submission
// was held up by an entry process that stood still (review/9).
TEST_CASE("A cancellation holds for a submission that arrives after it, also after a restart",
    "[platform][cancellations]")
{
    SingleApi api;
    REQUIRE(api.call("GET", jobPath).status == 410);
    REQUIRE(api.call("DELETE", jobPath).status == 410);
    REQUIRE(api.call("DELETE", jobPath).status == 410);
    REQUIRE(api.call("GET", jobPath).status == 410); // Nobody has submitted it.
    api.restart();
    REQUIRE(api.submit(jobPath).status == 200);
    REQUIRE(api.store().openJobs().empty());
    REQUIRE(api.call("GET", jobPath).body.find("cancelled") != std::string::npos);
    REQUIRE(api.submit(jobPath).status == 200);
    REQUIRE(api.call("DELETE", jobPath).status == 200);
    REQUIRE(api.store().openJobs().empty());
}

// Guards against a cancellation that is acknowledged although it isn't recorded, and against one of a known
// job that a full record delays.
TEST_CASE("A cancellation that can't be recorded is refused at once", "[platform][cancellations]")
{
    SingleApi api;
    REQUIRE(api.submit("/work/00000000000000aa").status == 200);
    api.fillCancelledIds();
    auto refused = api.call("DELETE", jobPath);
    REQUIRE(refused.status == 503);
    REQUIRE(refused.retryAfter > Millis {});
    REQUIRE(api.call("DELETE", "/work/00000000000000aa").status == 200);
    REQUIRE(api.submit(jobPath).status == 200);
    REQUIRE(api.store().openJobs().size() == 1);
    REQUIRE(api.call("DELETE", jobPath).status == 200);
}

// Guards against a job that is accepted although its customer's limit never lets it run.
TEST_CASE("A job beyond its customer's limit is refused at submission", "[platform][quota]")
{
    SingleApi api;
    auto configuration = makeConfiguration(2);
    configuration.queues[0].key = "jobs.example/work/";
    configuration.queues[0].requiresKey = true;
    CustomerSettings customer;
    customer.name = "a";
    customer.apiKeys = { "key-a" };
    customer.limit.cpuMilli = 1000;
    configuration.customers = { customer };
    api.accept(configuration);
    auto submit = [&](const std::string& target, const std::string& fields) {
        auto body = R"({"spec":"text","steps":[{"cpu":600,"estimate_ms":900,)" + fields + "}]}";
        return api.call("POST", target, body, "key-a").status;
    };
    REQUIRE(submit(jobPath, R"("count":2,"gang":true)") == 422);
    REQUIRE(api.store().jobCount() == 0);
    REQUIRE(submit(jobPath, R"("count":2)") == 200);
}

// Guards against a refusal that was accepted, has no time to come back, or hits the retry of an accepted job.
TEST_CASE("A job that can't end in time is refused with a time to come back", "[platform][api][admission]")
{
    SingleApi api;
    auto configuration = api.store().configuration();
    configuration.version = 2;
    configuration.customers.push_back({ "small", { "secret" }, 1, 0, {} });
    api.accept(configuration);
    REQUIRE(api.submit(jobPath).status == 200);
    // In its first seconds a leader judges pools with waiting tasks only.
    api.master().startTerm();
    auto report = makeReport("r", 1);
    report.capacity = { 500, 500, 0 };
    api.master().report(report, [](const std::optional<RunnerOrders>&) {});
    ForwardedResponse response;
    std::string path;
    for (int i = 0; i < 20 && (response.status == 0 || response.status == 200); ++i) {
        path = "/work/00000000000000d" + std::string(1, "0123456789abcdef"[i % 16]);
        response = api.submit(path);
    }
    REQUIRE(response.status == 503);
    REQUIRE(response.retryAfter > Millis {});
    REQUIRE(api.store().findJob(path.substr(6)) == nullptr);
    REQUIRE(api.submit(jobPath).status == 200);
}
