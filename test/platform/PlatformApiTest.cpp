#include "platform/PlatformApi.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::platform;

// Guards against a request that reaches another queue than the one with the longest prefix.
TEST_CASE("The longest prefix of the host selects the queue", "[platform]")
{
    QueueConfiguration configuration;
    for (const auto* key : { "a.example/x/", "a.example/x/y/", "aa.example/x/y/z/" }) {
        QueueSettings queue;
        queue.key = key;
        configuration.queues.push_back(queue);
    }
    REQUIRE(findQueueFor(configuration, "a.example", "/x/y/id")->key == "a.example/x/y/");
    REQUIRE(findQueueFor(configuration, "a.example", "/x/id")->key == "a.example/x/");
    REQUIRE(findQueueFor(configuration, "a.example", "/z/id") == nullptr);
    REQUIRE(findQueueFor(configuration, "b.example", "/x/id") == nullptr);
    REQUIRE(findQueueFor(configuration, "a", "/x/id") == nullptr);
}
