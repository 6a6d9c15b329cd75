#include "celeryline/tracing/ScopedSpan.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace celeryline;
using Catch::Matchers::Contains;

TEST_CASE("Spans of one request share a trace id and reference their parents", "[trace]")
{
    TracingSettings settings;
    settings.file = "spans-" + std::to_string(getpid()) + ".json";
    std::string serverSpan;
    {
        SpanExporter exporter(settings, "entry-1");
        auto caller = parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01");
        ScopedSpan server(&exporter, "call intake", SpanKind::Server, caller);
        serverSpan = server.context()->spanId;
        ScopedSpan client(&exporter, "runner r1", SpanKind::Client, server.context());
        CHECK_THAT(client.traceparent(), Contains("4bf92f3577b34da6a3ce929d0e0e4736"));
    }
    std::ifstream file(settings.file);
    std::ostringstream text;
    text << file.rdbuf();
    std::remove(settings.file.c_str());
    CHECK_THAT(text.str(), Contains("\"parentSpanId\":\"00f067aa0ba902b7\""));
    CHECK_THAT(text.str(), Contains("\"parentSpanId\":\"" + serverSpan + "\""));
    CHECK_THAT(text.str(), Contains("\"stringValue\":\"entry-1\""));
}
