#include "celeryline/base/Error.h"
#include "platform/WireCodec.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

constexpr int mutationsPerBody = 1500;

/// A valid message of the platform and its decoder.
struct Sample {
    std::string body;
    std::function<void(const std::string&)> decode;
};

std::vector<Sample> samples()
{
    std::vector<Sample> samples;
    samples.push_back({ R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900},)"
                        R"({"count":2,"cpu":2000,"after":[0],"saves_progress":true,"may_miss":1}]})",
        [](const std::string& body) { decodeJob("5c0e7a21d94b36f8", "host/queue/", body); } });
    samples.push_back(
        { R"({"service":"s","addr":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"ready","born":17,)"
          R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"seq":4,)"
          R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00bb",41]],)"
          R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
            [](const std::string& body) { decodeHeartbeat("i-1", body, { 1000 }); } });
    samples.push_back({ R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/",)"
                        R"("timeout_ms":3000,"slo_ms":3600,"priority":1,"service":"s","stretch":1.6}],)"
                        R"("services":[{"name":"s","rejects_overload":true,"standby":false}]})",
        [](const std::string& body) { decodeConfiguration(body); } });
    samples.push_back({ R"({"wave":1,"machines":["m-0a3f1","m-141e8"],"deadline_s":20,"max_count":1})",
        [](const std::string& body) { decodeWave(body); } });
    samples.push_back({ R"({"machines":[{"machine":"m","pool":"s","state":"up","zone":"z","labels":["a"],)"
                        R"("capacity":{"cpu":1},"id":"i-1"}],"next_token":"t"})",
        [](const std::string& body) {
            std::vector<MachineInfo> machines;
            decodeMachinePage(body, machines);
        } });
    samples.push_back({ R"({"approved":[["i-1","ticket"],["i-2","other"]],"valid_ms":500})",
        [](const std::string& body) { decodeAdvice(body); } });
    return samples;
}

/// Truncates a body, or changes a byte, repeats a part or replaces a part; one to three times.
std::string mutate(std::string body, std::mt19937_64& random)
{
    auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    static const std::vector<std::string> replacements { "null", "-1", "1e308", "9223372036854775808", "[]",
        "{}", "\"\"", "true", std::string(3000, '['), "\"\xff\"", "0.5", "\"a.b.c.d.e\"" };
    for (auto changes = 1 + below(3); changes > 0 && !body.empty(); --changes) {
        auto at = below(body.size());
        auto length = 1 + below(12);
        switch (below(4)) {
        case 0:
            body.resize(at);
            break;
        case 1:
            body[at] = static_cast<char>(below(256));
            break;
        case 2:
            body.insert(at, body.substr(at, length));
            break;
        default:
            body.replace(at, length, replacements[below(replacements.size())]);
        }
    }
    return body;
}

} // namespace

// Guards against a malformed message that terminates the process: only an Error of kind InvalidInput becomes
// a 400 response, any other exception ends the process.
TEST_CASE("Decoders accept a malformed body or throw InvalidInput", "[platform][random]")
{
    std::mt19937_64 random(20261204);
    int rejectedCount = 0;
    for (const auto& sample : samples()) {
        sample.decode(sample.body);
        for (int i = 0; i < mutationsPerBody; ++i) {
            auto body = mutate(sample.body, random);
            INFO(body.substr(0, 400));
            try {
                sample.decode(body);
            } catch (const Error& e) {
                REQUIRE(e.kind() == ErrorKind::InvalidInput);
                ++rejectedCount;
            }
        }
    }
    REQUIRE(rejectedCount > mutationsPerBody);
}
