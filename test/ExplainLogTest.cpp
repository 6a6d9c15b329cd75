#include "celeryline/cli/ExplainLogCommand.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

LogLine parse(const std::string& text) { return parseLogLine(text, "5c0e7a21d94b36f8"); }

} // namespace

// Guards against omitting the lines of the entry process, which mention the id only in the request target.
TEST_CASE("A log line matches an id if one of its fields contains it", "[cli]")
{
    auto submitted = parse(
        R"(12.5 core-1 {"event":"job-submitted","instance":"c1","timeMs":50,"job":"5c0e7a21d94b36f8","steps":2})");
    REQUIRE(submitted.event == "job-submitted");
    REQUIRE(submitted.instance == "c1");
    REQUIRE(submitted.timeMs == 50);
    REQUIRE(submitted.matchesId);
    REQUIRE(submitted.details == "job=5c0e7a21d94b36f8 steps=2");
    REQUIRE(parse(R"({"event":"request-failed","timeMs":1,"target":"/a/5c0e7a21d94b36f8"})").matchesId);
    REQUIRE_FALSE(parse(R"({"event":"end","timeMs":1,"job":"other"})").matchesId);
    REQUIRE(parse("no JSON at all").event.empty());
    REQUIRE(parse(R"({"event":"cut sho)").event.empty());
}

// Guards against omitting the reason why a job is waiting.
TEST_CASE("A line about a waiting task matches its job", "[cli]")
{
    auto waiting = parse(
        R"({"event":"task-waits","instance":"c1","timeMs":50,"job":"5c0e7a21d94b36f8","occurrence":0,"step":1,)"
        R"("pool":"intake","tasks":8,"waitedMs":3000,"probation":2})");
    REQUIRE(waiting.matchesId);
    REQUIRE(selectRelevantLines({ waiting }).size() == 1);
    REQUIRE(waiting.details.find("probation=2") != std::string::npos);
}

// Guards against ordering lines by file instead of by time, and against omitting the loss of the leader.
TEST_CASE("The lines of several processes are merged in order of time", "[cli]")
{
    std::vector<LogLine> lines
        = { parse(R"({"event":"end","instance":"c2","timeMs":5000,"job":"5c0e7a21d94b36f8"})"),
              parse(R"({"event":"leader-lost","instance":"c2","timeMs":3000})"),
              parse(R"({"event":"leader-found","instance":"c2","timeMs":90000})"),
              parse(R"({"event":"start","instance":"c1","timeMs":2500,"job":"5c0e7a21d94b36f8"})"),
              parse(R"({"event":"start","instance":"c1","timeMs":2600,"job":"other"})") };
    auto timeline = selectRelevantLines(lines);
    REQUIRE(timeline.size() == 3);
    REQUIRE(timeline[0].event == "start");
    REQUIRE(timeline[1].event == "leader-lost");
    REQUIRE(timeline[2].event == "end");
    REQUIRE(selectRelevantLines({ lines[1], lines[4] }).empty());
}

// Guards against a request that failed for want of a leader while the printed timeline doesn't show why there
// was none.
TEST_CASE("The lines about voters and elections around a request are printed", "[cli]")
{
    for (const std::string event :
        { "leadership-lost", "voters-changed", "voter-unreachable", "voter-reachable", "voter-not-replaced",
            "voter-replacement-too-slow", "learner-ready", "learner-not-ready", "caught-up", "became-voter",
            "no-longer-voter", "election-stalled", "no-leader-to-follow", "vote-refused" }) {
        INFO(event);
        auto line = parse(R"({"event":")" + event + R"(","instance":"c2","timeMs":3000,"term":7})");
        auto request = parse(R"({"event":"end","instance":"c1","timeMs":4000,"job":"5c0e7a21d94b36f8"})");
        REQUIRE(selectRelevantLines({ line, request }).size() == 2);
    }
}
