#include "celeryline/tracing/TraceContext.h"

#include <catch2/catch.hpp>

using namespace celeryline;

TEST_CASE("A traceparent header is unchanged by parsing and formatting", "[trace]")
{
    const std::string header = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    auto context = parseTraceparent(header);
    REQUIRE(context);
    CHECK(formatTraceparent(*context) == header);
    CHECK(childContext(*context).traceId == context->traceId);
    CHECK(childContext(*context).spanId != context->spanId);
}

TEST_CASE("Malformed traceparent headers are rejected", "[trace]")
{
    CHECK_FALSE(parseTraceparent(""));
    CHECK_FALSE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7"));
    CHECK_FALSE(parseTraceparent("00-00000000000000000000000000000000-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceparent("00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceparent("ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"));
    CHECK_FALSE(parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-more"));
}
