// Tests of API keys in requests to the leader.
#include "SingleApi.h"
#include "platform/WireCodec.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;
using namespace celeryline::test;

namespace {

const std::string job = "/work/00000000000000c1";
const std::string publicJob = "/open/00000000000000c2";
const std::string ann = R"({"name":"ann","api_keys":["key-ann"]})";
const std::string bob = R"({"name":"bob","api_keys":["key-bob"]})";

/// @param customers comma-separated entries of the list of customers.
std::string document(int version, const std::string& customers, const std::string& routeFields = "")
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/work/","timeout_ms":3000,)"
        + routeFields
        + R"("service":"s"},{"name":"p","host":"jobs.example","path_prefix":"/open/","timeout_ms":3000,)"
        + R"("public":true,"service":"s"}],"services":[{"name":"s"}],"tenants":[)" + customers + "]}";
}

/// @return the configuration as a version of celeryline without customers decodes it.
QueueConfiguration ignoringCustomers(const std::string& text)
{
    auto configuration = platform::decodeConfiguration(document(2, ""));
    for (auto& queue : configuration.queues)
        queue.requiresKey = false;
    configuration.document = text;
    return configuration;
}

/// An API whose queue /work/ requires a key of ann or bob, and whose queue /open/ is public.
struct KeysFixture {
    KeysFixture() { REQUIRE(api.configure(document(2, ann + "," + bob)).status == 200); }

    /// @return the statuses of a read, a submission and a cancellation.
    std::vector<int> statuses(const std::string& target, const std::string& key)
    {
        return { api.call("GET", target, "", key).status, api.submit(target, key).status,
            api.call("DELETE", target, "", key).status };
    }

    SingleApi api;
};

} // namespace

// Guards against work that runs, is read or is cancelled without a key that the configuration holds.
TEST_CASE("A request without a known key gets 401 and nothing runs", "[platform][customers]")
{
    KeysFixture f;
    for (const auto* key : { "", "key-ann2", "key-an", "KEY-ANN", "ann", "Bearer key-ann" }) {
        REQUIRE(f.statuses(job, key) == std::vector<int> { 401, 401, 401 });
        REQUIRE(f.api.call("GET", "/work/", "", key).status == 401);
        REQUIRE(f.api.call("POST", "/work/not-an-id", "no JSON", key).status == 401);
    }
    REQUIRE(f.api.store().jobCount() == 0);
    REQUIRE(f.api.store().cancelledIds().size() == 0);
}

// Guards against a 401 for a route that doesn't exist: callers would look for the fault in their key.
TEST_CASE("A request to an unknown route gets 404 whatever its key is", "[platform][customers]")
{
    KeysFixture f;
    for (const auto* key : { "", "key-ann", "unknown" })
        REQUIRE(f.statuses("/none/00000000000000c1", key) == std::vector<int> { 404, 404, 404 });
}

// Guards against keys that work for only a part of the methods, and against jobs of no or another customer.
TEST_CASE("A request with a known key is served for its customer", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    REQUIRE(f.api.store().findJob("00000000000000c1")->spec.customer == "ann");
    REQUIRE(f.api.call("GET", job, "", "key-ann").status == 200);
    REQUIRE(f.api.call("GET", "/work/", "", "key-ann").status == 200);
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    REQUIRE(f.api.call("DELETE", job, "", "key-ann").status == 200);
}

// Guards against a customer that reads, cancels or takes over the job of another.
TEST_CASE("The job of another customer can't be read, cancelled or submitted again", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    REQUIRE(f.statuses(job, "key-bob") == std::vector<int> { 403, 409, 403 });
    REQUIRE(f.api.store().openJobs().size() == 1);
    REQUIRE(f.api.store().findJob("00000000000000c1")->spec.customer == "ann");
}

// Guards against a public queue through which callers without a key reach jobs of queues that require one.
TEST_CASE("A public queue gives no access to jobs of other queues", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    const std::string beside = "/open/00000000000000c1";
    for (const auto* key : { "", "unknown", "key-bob" })
        REQUIRE(f.statuses(beside, key) == std::vector<int> { 403, 409, 403 });
    REQUIRE(f.api.store().openJobs().size() == 1);
    REQUIRE(f.statuses(beside, "key-ann") == std::vector<int> { 200, 200, 200 });
}

// Guards against a public queue that refuses some callers.
TEST_CASE("A public queue serves requests whatever their key is", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(publicJob).status == 200);
    REQUIRE(f.api.store().findJob("00000000000000c2")->spec.customer.empty());
    for (const auto* key : { "", "unknown", "key-ann", "key-bob" }) {
        REQUIRE(f.api.submit(publicJob, key).status == 200);
        REQUIRE(f.api.call("GET", publicJob, "", key).status == 200);
    }
    REQUIRE(f.api.submit("/open/00000000000000c3", "key-bob").status == 200);
    REQUIRE(f.api.store().findJob("00000000000000c3")->spec.customer == "bob");
    REQUIRE(f.api.call("GET", "/open/00000000000000c3").status == 200);
    REQUIRE(f.api.call("DELETE", "/open/00000000000000c3", "", "key-ann").status == 200);
    // Through a queue that requires a key, the job is bob's.
    REQUIRE(f.statuses("/work/00000000000000c3", "key-ann") == std::vector<int> { 403, 409, 403 });
}

// Guards against a removed key that still works for retries, reads or cancellations of accepted jobs.
TEST_CASE("A removed key gets 401 also for jobs that it submitted", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    REQUIRE(f.api.configure(document(3, R"({"name":"ann","api_keys":["key-ann2"]},)" + bob)).status == 200);
    REQUIRE(f.statuses(job, "key-ann") == std::vector<int> { 401, 401, 401 });
    REQUIRE(f.api.store().openJobs().size() == 1);
    REQUIRE(f.api.submit(job, "key-ann2").status == 200);
    REQUIRE(f.api.call("GET", job, "", "key-ann2").status == 200);
}

// Guards against a key that goes on acting for the customer which it was taken from.
TEST_CASE("A key that moves to another customer acts for that one", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    REQUIRE(f.api.configure(document(3, R"({"name":"bob","api_keys":["key-bob","key-ann"]})")).status == 200);
    REQUIRE(f.statuses(job, "key-ann") == std::vector<int> { 403, 409, 403 });
    REQUIRE(f.api.submit("/work/00000000000000c4", "key-ann").status == 200);
    REQUIRE(f.api.store().findJob("00000000000000c4")->spec.customer == "bob");
}

// Guards against a retry that is refused because its job was accepted before there were customers.
TEST_CASE("A job without a customer is its queue's", "[platform][customers]")
{
    SingleApi api;
    REQUIRE(api.submit(job).status == 200);
    REQUIRE(api.configure(document(2, ann)).status == 200);
    REQUIRE(api.submit(job).status == 401);
    REQUIRE(api.submit(job, "key-ann").status == 200);
    REQUIRE(api.call("GET", job, "", "key-ann").status == 200);
    // The id of a public job is not accepted for other work.
    REQUIRE(api.submit(publicJob).status == 200);
    REQUIRE(api.submit("/work/00000000000000c2", "key-ann").status == 409);
}

// Guards against an invalid or older version that changes who may do what.
TEST_CASE("A refused or older configuration leaves the keys as they are", "[platform][customers]")
{
    KeysFixture f;
    auto refused = f.api.configure(document(3, ann + R"(,{"name":"eve","api_keys":["key-ann"]})"));
    REQUIRE(refused.status == 400);
    REQUIRE(refused.body.find("eve") != std::string::npos);
    REQUIRE(refused.body.find("key-ann") == std::string::npos);
    REQUIRE(f.api.configure(document(1, R"({"name":"eve","api_keys":["key-eve"]})")).status == 200);
    REQUIRE(f.api.store().configuration().version == 2);
    REQUIRE(f.api.submit(job, "key-eve").status == 401);
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
}

// Guards against a customer that fills the record of early cancellations, so that all others get 503 for
// theirs (eight connections filled it within seconds).
TEST_CASE("A customer that cancels unknown jobs doesn't keep others from cancelling", "[platform][customers]")
{
    KeysFixture f;
    f.api.fillCancelledIds("ann");
    auto refused = f.api.call("DELETE", job, "", "key-ann");
    REQUIRE(refused.status == 503);
    REQUIRE(refused.retryAfter > Millis {});
    REQUIRE(f.api.call("DELETE", job, "", "key-bob").status == 410);
    REQUIRE(f.api.call("DELETE", publicJob).status == 410);
    f.api.restart();
    REQUIRE(f.api.call("DELETE", "/work/00000000000000c5", "", "key-ann").status == 503);
    REQUIRE(f.api.submit(job, "key-bob").status == 200);
    REQUIRE(f.api.store().openJobs().empty());
    REQUIRE(f.api.submit("/work/00000000000000c5", "key-ann").status == 200);
    REQUIRE(f.api.call("DELETE", "/work/00000000000000c5", "", "key-ann").status == 200);
}

// Guards against a process that serves everybody after an upgrade: the version before has accepted the
// configuration in force and ignored its customers.
TEST_CASE(
    "Customers that an earlier version ignored are added before a request is served", "[platform][customers]")
{
    SingleApi api;
    api.accept(ignoringCustomers(document(2, ann)));
    api.restart();
    REQUIRE(api.submit(job).status == 503);
    REQUIRE(api.submit(job, "key-ann").status == 503);
    REQUIRE(api.store().jobCount() == 0);
    REQUIRE(api.waitFor([&] { return !api.store().configuration().customers.empty(); }));
    REQUIRE(api.submit(job).status == 401);
    REQUIRE(api.submit(job, "key-ann").status == 200);
    REQUIRE(api.store().configuration().version == 2);
}

// Guards against a process that refuses all requests after an upgrade, because its version can't read the
// customers that the version before has ignored.
TEST_CASE(
    "Ignored customers that can't be read don't keep requests from being served", "[platform][customers]")
{
    SingleApi api;
    api.accept(ignoringCustomers(document(2, R"({"name":"eve","api_keys":["key eve"]})")));
    REQUIRE(api.submit(job).status == 200);
}

// Guards against a restarted process that accepts a removed key or lost a valid one.
TEST_CASE("Keys are the same after a restart", "[platform][customers]")
{
    KeysFixture f;
    REQUIRE(f.api.submit(job, "key-ann").status == 200);
    REQUIRE(f.api.configure(document(3, bob)).status == 200);
    f.api.restart();
    REQUIRE(f.api.call("GET", job, "", "key-ann").status == 401);
    REQUIRE(f.api.call("GET", job, "", "key-bob").status == 403);
    REQUIRE(f.api.store().findJob("00000000000000c1")->spec.customer == "ann");
}
