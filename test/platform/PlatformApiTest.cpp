#include "platform/PlatformApi.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::platform;

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
