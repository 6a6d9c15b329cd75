#include "platform/WireCodec.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

#include <random>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

const std::string configuration = R"({"version":7,"routes":[
    {"name":"q","host":"a.example","path_prefix":"/x/","kind":"mutating","timeout_ms":3000,"slo_ms":3600,
     "priority":1,"service":"s","attempts":3,"stretch":1.6}],
    "services":[{"name":"s","rejects_overload":true,"standby":false}],"limits":{"max_body_bytes":262144}})";

const std::string job = R"({"spec":"text","steps":[
    {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},
    {"count":20,"cpu":2000,"mem_mb":1024,"estimate_ms":7000.5,"after":[0],"saves_progress":true}]})";

const std::string report = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,
    "state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],
    "born":1700000000000,"seq":4,"machine":"m-1","running":[["5c0e7a21d94b36f8.0.1.17",2,"check",41,120]],
    "ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

/// Half a minute after the start of the runner in the report above.
constexpr Millis wallNow { 1700000030000 };

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("A configuration is decoded", "[platform]")
{
    auto decoded = decodeConfiguration(configuration);
    REQUIRE(decoded.version == 7);
    REQUIRE(decoded.document == configuration);
    REQUIRE(decoded.queues.at(0).key == "a.example/x/");
    REQUIRE(decoded.queues.at(0).objective == Millis { 3600 });
    REQUIRE(decoded.queues.at(0).attempts == 3);
    REQUIRE(decoded.pools.at(0).rejectsOverload);
}

// Guards against calls of the advice service that are longer than its tickets are valid.
TEST_CASE("The durations of a queue's advice service are decoded", "[platform]")
{
    REQUIRE_FALSE(decodeConfiguration(configuration).queues.at(0).needsAdvice);
    auto withAdvice = [](const std::string& advice) {
        return replaced(configuration, "\"attempts\":3", "\"attempts\":3,\"advice\":" + advice);
    };
    auto decoded = decodeConfiguration(withAdvice(R"({"decide_ms":400,"interval_ms":50,"valid_ms":3000})"));
    REQUIRE(decoded.queues.at(0).needsAdvice);
    REQUIRE(decoded.queues.at(0).adviceTiming == AdviceTiming { { 400 }, { 50 }, { 3000 } });
    decoded = decodeConfiguration(withAdvice("{}"));
    REQUIRE(decoded.queues.at(0).needsAdvice);
    REQUIRE(decoded.queues.at(0).adviceTiming == AdviceTiming {});
    REQUIRE_FALSE(decodeConfiguration(withAdvice("null")).queues.at(0).needsAdvice);
    REQUIRE_THROWS_AS(decodeConfiguration(withAdvice("true")), Error);
    REQUIRE_THROWS_AS(decodeConfiguration(withAdvice(R"({"valid_ms":-1})")), Error);
}

// Guards against acknowledging and applying an invalid configuration.
TEST_CASE("An invalid configuration is rejected", "[platform]")
{
    auto second = R"({"name":"r","host":"a.example","path_prefix":"/x/","timeout_ms":10,"service":"s"})";
    REQUIRE_THROWS_AS(
        decodeConfiguration(replaced(configuration, "\"timeout_ms\":3000", "\"timeout_ms\":0")), Error);
    REQUIRE_THROWS_AS(decodeConfiguration(replaced(configuration, "\"timeout_ms\":3000,", "")), Error);
    REQUIRE_THROWS_AS(
        decodeConfiguration(replaced(configuration, "\"service\":\"s\"", "\"service\":\"t\"")), Error);
    REQUIRE_THROWS_AS(decodeConfiguration(replaced(
                          configuration, "\"routes\":[", "\"routes\":[" + std::string(second) + ",")),
        Error);
    REQUIRE_THROWS_AS(decodeConfiguration(replaced(configuration, "\"version\":7,", "")), Error);
    for (std::size_t size = 0; size < configuration.size(); ++size)
        REQUIRE_THROWS_AS(decodeConfiguration(configuration.substr(0, size)), Error);
}

TEST_CASE("A job is decoded", "[platform]")
{
    auto decoded = decodeJob("5c0e7a21d94b36f8", "queue", job);
    REQUIRE(decoded.payload == "text");
    REQUIRE(decoded.steps.size() == 2);
    REQUIRE(decoded.steps[0].demand == Resources { 500, 256, 0 });
    REQUIRE(decoded.steps[0].dataRack == "r1-3");
    REQUIRE(decoded.steps[1].after == std::vector<std::uint32_t> { 0 });
    REQUIRE(decoded.steps[1].estimate == Millis { 7001 });
    REQUIRE(decoded.steps[1].savesProgress);
}

// Guards against jobs that can never complete, such as a step that depends on itself or on a later step.
TEST_CASE("A job with invalid steps is rejected", "[platform]")
{
    REQUIRE_THROWS_AS(decodeJob("id", "q", replaced(job, "\"after\":[0]", "\"after\":[1]")), Error);
    REQUIRE_THROWS_AS(decodeJob("id", "q", replaced(job, "\"after\":[0]", "\"after\":[-1]")), Error);
    REQUIRE_THROWS_AS(decodeJob("id", "q", replaced(job, "\"count\":4", "\"count\":0")), Error);
    REQUIRE_THROWS_AS(decodeJob("id", "q", replaced(job, "\"count\":4", "\"count\":\"4\"")), Error);
    REQUIRE_THROWS_AS(
        decodeJob("id", "q", replaced(job, "\"text\"", "\"" + std::string(4001, 'x') + "\"")), Error);
    REQUIRE_THROWS_AS(decodeJob("id", "q", R"({"spec":"x","steps":[]})"), Error);
}

TEST_CASE("A heartbeat is decoded", "[platform]")
{
    auto decoded = decodeHeartbeat("i-1", report, wallNow);
    REQUIRE(decoded.incarnation == RunnerIncarnation { "i-1", { 1700000000000 } });
    REQUIRE(decoded.sequence == 4);
    REQUIRE(decoded.machine == "m-1");
    REQUIRE(decoded.capacity == Resources { 16000, 32768, 0 });
    REQUIRE(decoded.running.at(0).run == RunName { { "5c0e7a21d94b36f8", 0, 1, 17 }, 2 });
    REQUIRE(decoded.running.at(0).metric == 120);
    REQUIRE(decoded.ended.at(0).number == 58);
    REQUIRE(decoded.ended.at(0).outcome == RunOutcome::Done);
}

// Guards against treating a message from another sender as a runner's heartbeat.
TEST_CASE("A heartbeat with missing or invalid fields is rejected", "[platform]")
{
    for (const auto* field : { "\"service\":\"s\",", "\"addr\":\"10.0.0.9:80\",", "\"seq\":4,",
             "\"born\":1700000000000,", "\"state\":\"ready\"," })
        REQUIRE_THROWS_AS(decodeHeartbeat("i-1", replaced(report, field, ""), wallNow), Error);
    REQUIRE_THROWS_AS(decodeHeartbeat("i-1", replaced(report, "\"ready\"", "\"asleep\""), wallNow), Error);
    REQUIRE_THROWS_AS(decodeHeartbeat("i-1", replaced(report, "\"seq\":4", "\"seq\":true"), wallNow), Error);
    REQUIRE_THROWS_AS(decodeHeartbeat("i-1", replaced(report, ".0.1.17", ".0.x.17"), wallNow), Error);
}

// Guards against lists that keep the leader from its other work, and that it holds for each runner.
TEST_CASE("A heartbeat or job with very long lists is rejected", "[platform][limits]")
{
    auto repeated = [](const std::string& row, int count) {
        std::string rows = row;
        for (int i = 1; i < count; ++i)
            rows += "," + row;
        return "[" + rows + "]";
    };
    const std::string run = R"(["5c0e7a21d94b36f8.0.1.17",2])";
    const std::string end = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done"])";
    const std::string start
        = R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"seq":4,)"
          R"("born":1700000000000,"state":"ready","capacity":{"cpu":16000},)";
    auto decode = [&](const char* field, const std::string& rows) {
        return decodeHeartbeat("i-1", start + "\"" + field + "\":" + rows + "}", wallNow);
    };
    CHECK(decode("running", repeated(run, 20000)).running.size() == 20000);
    CHECK(decode("ended", repeated(end, 20000)).ended.size() == 20000);
    CHECK(decode("labels", repeated(R"("a")", 1000)).labels.size() == 1000);
    CHECK_THROWS_AS(decode("running", repeated(run, 20001)), Error);
    CHECK_THROWS_AS(decode("ended", repeated(end, 20001)), Error);
    CHECK_THROWS_AS(decode("labels", repeated(R"("a")", 1001)), Error);
    CHECK_THROWS_AS(decodeJob("id", "q", R"({"spec":"x","steps":)" + repeated("{}", 20001) + "}"), Error);
}

// Guards against an entry of another writer that is taken for a runner and gets tasks that never start.
TEST_CASE("A heartbeat with a field of another type or out of range names no runner", "[platform]")
{
    const std::vector<std::pair<std::string, std::string>> replacements {
        { "10.0.0.9:80", "10.0.0.9:0" },
        { "10.0.0.9:80", "10.0.0.9:70000" },
        { "10.0.0.9:80", "10.0.0.9:-1" },
        { "10.0.0.9:80", "10.0.0.9" },
        { "10.0.0.9:80", ":9" },
        { "10.0.0.9:80", "unix:/x" },
        { "10.0.0.9:80", "10.0.0.9\\n:80" },
        { "10.0.0.9:80", "10.0.0.9:80\\n" },
        { "10.0.0.9:80", std::string(3000, '1') + ":80" },
        { R"("zone":"z",)", "" },
        { R"("zone":"z")", R"("zone":7)" },
        { R"("version":"v1",)", "" },
        { R"("version":"v1")", R"("version":["v1"])" },
        { R"("slots":8,)", "" },
        { R"("slots":8)", R"("slots":"8")" },
        { R"("slots":8)", R"("slots":-1)" },
        { R"("slots":8)", R"("slots":1e999)" },
        { R"("cold_left_ms":0)", R"("cold_left_ms":"soon")" },
        { R"("cpu":16000)", R"("cpu":-1)" },
        { R"("cpu":16000)", R"("cpu":4000000000000)" },
        { R"("labels":["a","r1-3"])", R"("labels":[["a"]])" },
        { R"("born":1700000000000)", R"("born":9223372036854775807)" },
        { R"("born":1700000000000)", R"("born":1700000090001)" },
        { R"("born":1700000000000)", R"("born":-1)" },
        { R"("born":1700000000000)", R"("born":0)" },
        { R"("born":1700000000000)", R"("born":17.5)" },
        { R"("seq":4)", R"("seq":9223372036854775807)" },
        { R"("seq":4)", R"("seq":90001)" },
        { R"("seq":4)", R"("seq":-1)" },
        { R"(17",2)", R"(17",4294967298)" },
        { R"(17",2)", R"(17",0)" },
        { R"([[58,)", R"([[-58,)" },
        { R"([[58,)", R"([[9223372036854775807,)" },
    };
    for (const auto& [from, to] : replacements) {
        INFO(to.substr(0, 100));
        REQUIRE_THROWS_AS(decodeHeartbeat("i-1", replaced(report, from, to), wallNow), Error);
    }
}

// Guards against runners that are refused because clocks differ by some seconds.
TEST_CASE("A heartbeat is accepted if the clock of its runner is fast or slow", "[platform]")
{
    REQUIRE_NOTHROW(decodeHeartbeat("i-1", report, { 1700000000000 - 5000 }));
    REQUIRE_NOTHROW(decodeHeartbeat("i-1", replaced(report, "\"seq\":4", "\"seq\":60000"), wallNow));
}

// Guards against a crash or an infinite loop on malformed input.
TEST_CASE("Decoders handle truncated and corrupted bodies", "[platform][random]")
{
    std::mt19937_64 random(5);
    auto corrupt = [&random](std::string text) {
        for (auto flips = random() % 4 + 1; flips > 0; --flips)
            text[random() % text.size()] = static_cast<char>(random());
        return random() % 3 == 0 ? text.substr(0, random() % text.size()) : text;
    };
    for (int i = 0; i < 3000; ++i) {
        try {
            decodeConfiguration(corrupt(configuration));
        } catch (const Error&) {
        }
        try {
            decodeJob("id", "q", corrupt(job));
        } catch (const Error&) {
        }
        try {
            decodeHeartbeat("id", corrupt(report), wallNow);
        } catch (const Error&) {
        }
    }
}

TEST_CASE("A heartbeat response is encoded", "[platform]")
{
    RunnerOrders orders;
    REQUIRE(encodeHeartbeatResponse(orders, "10.0.0.1:80") == R"({"heartbeat_addr":"10.0.0.1:80"})");
    orders.lease = { 4000 };
    orders.fence = 7;
    orders.acknowledgedEnds = 58;
    orders.starts.push_back({ { { "5c0e7a21d94b36f8", 0, 1, 18 }, 1 }, "text", "", "" });
    orders.stops.push_back({ { "5c0e7a21d94b36f8", 0, 1, 17 }, 2 });
    auto text = encodeHeartbeatResponse(orders, "");
    REQUIRE(text.find(R"("start":[["5c0e7a21d94b36f8.0.1.18",1,"text",""]])") != std::string::npos);
    REQUIRE(text.find(R"("stop":[["5c0e7a21d94b36f8.0.1.17",2]])") != std::string::npos);
    REQUIRE(text.find(R"("ack_cursor":58)") != std::string::npos);
    REQUIRE(text.find(R"("fence":7)") != std::string::npos);
}

// Guards against rejecting a fractional deadline, which left a whole wave unprocessed (Kromrivier scenario
// scale-1, seed 733375524975).
TEST_CASE("A wave's deadline may be fractional", "[platform]")
{
    auto wave = decodeWave(R"({"wave":1,"machines":["m-1"],"deadline_s":23.527,"max_count":11})");
    REQUIRE(wave.deadline == Millis { 23527 });
    REQUIRE(wave.maxAtOnce == 11);
}

TEST_CASE("A page of the machine list is decoded", "[platform]")
{
    std::vector<MachineInfo> machines;
    auto nextToken
        = decodeMachinePage(R"({"machines":[{"machine":"m-1","pool":"s","state":"upkeep","zone":"z",
        "labels":["a"],"capacity":{"cpu":16000,"mem_mb":1,"gpu":0},"id":"i-1"}],"next_token":"t 2"})",
            machines);
    REQUIRE(nextToken == "t 2");
    REQUIRE(machineListPath(nextToken) == "/machines?page_token=t%202");
    REQUIRE(machines.at(0).state == MachineState::Upkeep);
    REQUIRE(machines.at(0).runner == "i-1");
    REQUIRE(decodeMachinePage(R"({"machines":[],"next_token":null})", machines).empty());
}

TEST_CASE("Advice messages are encoded and decoded", "[platform]")
{
    REQUIRE(encodeAdviceRequest({ "5c0e7a21d94b36f8", 0, 1, 7 }, { "i-1", "i-2" })
        == R"({"step":"5c0e7a21d94b36f8.0.1","workers":["i-1","i-2"]})");
    auto advice = decodeAdvice(R"({"approved":[["i-1","c81e-7a21d94b"]],"valid_ms":3000})");
    REQUIRE(advice.tickets.at("i-1") == "c81e-7a21d94b");
    REQUIRE(advice.validFor == Millis { 3000 });
    // A row without a ticket approves no runner; without rows the answer is no advice.
    REQUIRE(decodeAdvice(R"({"approved":[["i-1"]],"valid_ms":3000})").tickets.empty());
    REQUIRE_THROWS_AS(decodeAdvice(R"({"approved":[["i-1","t"]],"valid_ms":"3000"})"), Error);
    REQUIRE_THROWS_AS(decodeAdvice(R"({"approved":{"i-1":"t"},"valid_ms":3000})"), Error);
}

TEST_CASE("A job's id has 16 hexadecimal digits", "[platform]")
{
    REQUIRE(isJobId("5c0e7a21d94b36f8"));
    REQUIRE_FALSE(isJobId("5c0e7a21d94b36f"));
    REQUIRE_FALSE(isJobId("5c0e7a21d94b36fg"));
}

namespace {

/// Decodes a list of a valid row, another row and a second valid one.
std::vector<MachineInfo> decodeBesideValid(const std::string& row)
{
    const std::string valid
        = R"("pool":"s","state":"up","zone":"z","labels":["a"],"capacity":{"cpu":4000},"id":")";
    std::vector<MachineInfo> machines;
    decodeMachinePage(R"({"machines":[{"machine":"m-1",)" + valid + R"(i-1"},)" + row
            + R"(,{"machine":"m-3",)" + valid + R"(i-3"}],"next_token":null})",
        machines);
    return machines;
}

} // namespace

// Guards against a leader that sees no machine come, go or move while one row of the provider's list is
// invalid.
TEST_CASE("An invalid row in the list of machines costs only itself", "[platform]")
{
    auto row
        = GENERATE(values<std::string>({ "null", "7", "[]", "{}", R"({"machine":""})", R"({"machine":7})",
            "{\"machine\":\"\xff\"}", R"({"machine":1e999})", R"({"pool":"s","capacity":{"cpu":1e400}})" }));
    INFO(row);
    auto machines = decodeBesideValid(row);
    REQUIRE(machines.size() == 2);
    REQUIRE(machines[0].runner == "i-1");
    REQUIRE(machines[1].runner == "i-3");
    REQUIRE(machines[1].capacity.cpuMilli == 4000);
}

// Guards against a wave that is completed without a machine, because the row of that machine can't be read.
TEST_CASE("A machine whose row can't be read is listed as down", "[platform]")
{
    auto field = GENERATE(values<std::string>({ R"("capacity":{"cpu":-1})", R"("capacity":{"cpu":1e999})",
        R"("capacity":{"cpu":18446744073709551616})", R"("capacity":{"cpu":"4000"})", R"("capacity":[1])",
        R"("labels":"a")", R"("labels":[1])", R"("state":4)", R"("pool":{})", "\"pool\":\"\xff\"",
        R"("id":-1e999)", R"("text":"1e999 \" {","id":1e999)" }));
    INFO(field);
    auto machines = decodeBesideValid(R"({"machine":"m-2",)" + field + "}");
    REQUIRE(machines.size() == 3);
    REQUIRE(machines[0].runner == "i-1");
    REQUIRE(machines[1].machine == "m-2");
    REQUIRE(machines[1].state == MachineState::Down);
    REQUIRE(machines[1].runner.empty());
    REQUIRE(machines[2].runner == "i-3");
}

// Guards against a process that ends because of the nesting of one row.
TEST_CASE("A deeply nested row in the list of machines costs only itself", "[platform]")
{
    constexpr std::size_t depth = 50000;
    auto nested = std::string(depth, '[') + std::string(depth, ']');
    REQUIRE(decodeBesideValid(nested).size() == 2);
    REQUIRE(decodeBesideValid(R"({"machine":"m-2","labels":)" + nested + "}").size() == 3);
}
