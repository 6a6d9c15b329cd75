#include "celeryline/cli/ExplainLogCommand.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

LogLine parse(const std::string& text) { return parseLogLine(text, "5c0e7a21d94b36f8"); }

} // namespace

// Guards against a story that misses the line of the entry process, which names the id in the target only.
TEST_CASE("A log line is about an id if one of its fields holds it", "[cli]")
{
    auto submitted = parse(
        R"(12.5 core-1 {"event":"job-submitted","instance":"c1","timeMs":50,"job":"5c0e7a21d94b36f8","steps":2})");
    REQUIRE(submitted.event == "job-submitted");
    REQUIRE(submitted.instance == "c1");
    REQUIRE(submitted.timeMs == 50);
    REQUIRE(submitted.isAboutId);
    REQUIRE(submitted.details == "job=5c0e7a21d94b36f8 steps=2");
    REQUIRE(parse(R"({"event":"request-failed","timeMs":1,"target":"/a/5c0e7a21d94b36f8"})").isAboutId);
    REQUIRE_FALSE(parse(R"({"event":"end","timeMs":1,"job":"other"})").isAboutId);
    REQUIRE(parse("no JSON at all").event.empty());
    REQUIRE(parse(R"({"event":"cut sho)").event.empty());
}

// Guards against a job that waits and whose story doesn't show why.
TEST_CASE("A line about a waiting task is about its job", "[cli]")
{
    auto waits = parse(
        R"({"event":"task-waits","instance":"c1","timeMs":50,"job":"5c0e7a21d94b36f8","occurrence":0,"step":1,)"
        R"("pool":"intake","tasks":8,"waitedMs":3000,"probation":2})");
    REQUIRE(waits.isAboutId);
    REQUIRE(explainFromLog({ waits }).size() == 1);
    REQUIRE(waits.details.find("probation=2") != std::string::npos);
}

// Guards against a story in the order of the files, and against one that hides that the leader was lost.
TEST_CASE("The lines of several processes make one story", "[cli]")
{
    std::vector<LogLine> lines
        = { parse(R"({"event":"end","instance":"c2","timeMs":5000,"job":"5c0e7a21d94b36f8"})"),
              parse(R"({"event":"leader-lost","instance":"c2","timeMs":3000})"),
              parse(R"({"event":"leader-found","instance":"c2","timeMs":90000})"),
              parse(R"({"event":"start","instance":"c1","timeMs":2500,"job":"5c0e7a21d94b36f8"})"),
              parse(R"({"event":"start","instance":"c1","timeMs":2600,"job":"other"})") };
    auto story = explainFromLog(lines);
    REQUIRE(story.size() == 3);
    REQUIRE(story[0].event == "start");
    REQUIRE(story[1].event == "leader-lost");
    REQUIRE(story[2].event == "end");
    REQUIRE(explainFromLog({ lines[1], lines[4] }).empty());
}
