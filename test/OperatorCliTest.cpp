#include "OperatorFixture.h"
#include "celeryline/cli/Subcommand.h"
#include "celeryline/labels/JsonFields.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <thread>

using namespace celeryline;
using namespace celeryline::test;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

int OperatorFixture::runSubcommand(const std::vector<std::string>& arguments)
{
    return celeryline::runSubcommand(arguments);
}

namespace {

/// A file that is deleted by the destructor.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
        : path("/tmp/celeryline-test-" + newCommandId() + ".json")
    {
        std::ofstream(path) << content;
    }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    ~TemporaryFile() { std::remove(path.c_str()); }

    const std::string path;
};

const char* const fleetFile = R"([ // services first
  {"kind": "Service", "name": "a", "selector": "service=a", "maxUnavailablePercent": 50},
  {"kind": "Pool", "name": "a", "selector": "pool=a", "service": "a"} /* and their pools */
])";

int codeOf(ExitCode code) { return static_cast<int>(code); }

} // namespace

TEST_CASE("apply reads a file with comments and prints the difference", "[cli]")
{
    OperatorFixture f;
    TemporaryFile file(fleetFile);
    REQUIRE(f.cli({ "apply", "-f", file.path, "--dry-run" }) == 0);
    CHECK_THAT(f.out, Contains("+ pool a") && Contains("dry run on revision 0"));
    CHECK(f.state.revision() == 0);
    REQUIRE(f.cli({ "apply", "-f", file.path, "--wait" }) == 0);
    CHECK_THAT(f.out, Contains("+ service a") && Contains("accepted at revision 1"));
    CHECK_THAT(f.error, Contains("in force on 2 of 2 entry instances"));
    REQUIRE(f.cli({ "apply", "-f", file.path }) == 0);
    CHECK_THAT(f.out, Contains("no difference") && Contains("revision 1"));
}

TEST_CASE("apply --wait lists the entry instances that were not reached", "[cli]")
{
    OperatorFixture f;
    f.isSecondUnreachable = true;
    TemporaryFile file(fleetFile);
    CHECK(f.cli({ "apply", "-f", file.path, "--wait", "--wait-timeout-ms", "100" })
        == codeOf(ExitCode::TimedOut));
    CHECK_THAT(f.error, Contains("1 of 2 entry instances; not reached: entry-2") && Contains("accepted"));
    CHECK(f.state.revision() == 1);
}

TEST_CASE("A conflicting change reports the conflict exit code and the command that won", "[cli]")
{
    OperatorFixture f;
    TemporaryFile file(fleetFile);
    f.run(applyCommand({ "a" }), "winner");
    CHECK(f.cli({ "apply", "-f", file.path, "--base-revision", "0" }) == codeOf(ExitCode::Conflict));
    CHECK_THAT(f.error, Contains("\"winner\"") && Contains("read the object again"));
}

// Guards against applying a change twice when an operator resends it after the response was lost.
TEST_CASE("An unknown outcome names the command id, and resending it is safe", "[cli]")
{
    OperatorFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    f.store.losesNextResult = true;
    CHECK(f.cli({ "label", "w1", "size=16", "rack-" }) == codeOf(ExitCode::TimedOut));
    auto id = f.store.ids.back();
    CHECK_THAT(f.error, Contains("resending with --command-id " + id + " is safe"));
    auto revision = f.state.revision();
    CHECK(f.cli({ "label", "w1", "size=16", "rack-", "--command-id", id }) == 0);
    CHECK_THAT(f.out, Contains("accepted at revision " + std::to_string(revision)));
    CHECK(f.state.revision() == revision);
    CHECK(f.instance("w1").labels.at("size") == "16");
}

TEST_CASE("The next server is tried when one can't be reached", "[cli]")
{
    OperatorFixture f;
    CHECK(f.cliWithoutServerOption({ "status", "--server", "127.0.0.1:1", "--server", f.address() }) == 0);
    CHECK_THAT(f.out, Contains("leader entry-1") && Contains("has a quorum"));
    CHECK(f.cliWithoutServerOption({ "drain", "w1", "--server", "127.0.0.1:1" })
        == codeOf(ExitCode::Unreachable));
    CHECK_THAT(f.error, Contains("127.0.0.1:1") && Contains("--command-id"));
    f.store.isAvailable = false;
    CHECK(f.cli({ "drain", "w1" }) == codeOf(ExitCode::Unreachable));
}

TEST_CASE("Invalid command lines and unknown names have distinct exit codes and suggestions", "[cli]")
{
    OperatorFixture f;
    f.run(applyCommand({ "intake" }));
    CHECK(f.cli({ "get", "poools" }) == codeOf(ExitCode::Usage));
    CHECK_THAT(f.error, Contains("did you mean \"pools\""));
    CHECK(f.cli({ "get", "pool", "intak" }) == codeOf(ExitCode::NotFound));
    CHECK_THAT(f.error, Contains("did you mean \"intake\""));
    CHECK(f.cli({ "get", "pools", "--outputt", "json" }) == codeOf(ExitCode::Usage));
    CHECK(f.cli({ "wave", "stop", "v" }) == codeOf(ExitCode::Usage));
    TemporaryFile broken("[{\"kind\":\"Pool\",\"name\":\"x\",\"sellector\":\"a=b\"}]");
    CHECK(f.cli({ "apply", "-f", broken.path }) == codeOf(ExitCode::InvalidInput));
    CHECK_THAT(f.error, Contains("objects[0].sellector") && Contains("did you mean \"selector\""));
}

TEST_CASE("get and describe print text or JSON", "[cli]")
{
    OperatorFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    REQUIRE(f.cli({ "get", "instances" }) == 0);
    CHECK_THAT(f.out, StartsWith("NAME") && Contains("w1    runner  dc1"));
    REQUIRE(f.cli({ "get", "instance", "w1", "--output", "json" }) == 0);
    CHECK(parseJsonFields(f.out).optionalString("pool") == "a");
    REQUIRE(f.cli({ "get", "pools", "-o", "json" }) == 0);
    auto items = parseJsonFields(f.out).objects("items");
    REQUIRE(items.size() == 1);
    CHECK(items[0].optionalString("selector") == "pool=a");
    REQUIRE(f.cli({ "describe", "instance", "w1" }) == 0);
    CHECK_THAT(f.out, Contains("phase: serving") && Contains("explanation: instance \"w1\" serves"));
}

TEST_CASE("Instances, waves and jobs can be managed from the command line", "[cli]")
{
    OperatorFixture f;
    f.run(applyCommand({ "a", "b" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    REQUIRE(f.cli({ "drain", "w1" }) == 0);
    CHECK_THAT(f.out, Contains("~ instance w1") && Contains("phase: serving -> draining"));
    CHECK(f.cli({ "drain", "w2" }) == codeOf(ExitCode::Conflict));
    CHECK(f.cli({ "undrain", "w1" }) == 0);
    CHECK(f.cli({ "move", "w2", "b" }) == 0);
    CHECK(f.instance("w2").nextPool == "b");
    CHECK(f.cli({ "wave", "start", "v", "--selector", "pool=a" }) == 0);
    CHECK(f.cli({ "wave", "pause", "v" }) == 0);
    CHECK(f.cli({ "wave", "status", "v" }) == 0);
    CHECK_THAT(f.out, Contains("wave \"v\" is paused: 0 of 1 instances done"));
    CHECK(f.cli({ "wave", "resume", "v" }) == 0);
    CHECK(f.cli({ "job", "submit", "j1", "--team", "t", "--pool", "a", "--cpu-milli", "500" }) == 0);
    CHECK(f.cli({ "explain", "job", "j1" }) == 0);
    CHECK_THAT(f.out, Contains("has been queued for 0 s behind 0 jobs; 0 of the 0 serving workers"));
    CHECK(f.cli({ "job", "cancel", "j1" }) == 0);
    CHECK(f.state.fleet()->jobs->at("j1").phase == JobPhase::Cancelled);
    CHECK(f.cliWithoutServerOption({ "completion", "bash" }) == 0);
    CHECK_THAT(f.out, Contains("complete -F _celeryline celeryline") && Contains("undrain"));
}

TEST_CASE("watch waits for the next change and prints it", "[cli]")
{
    OperatorFixture f;
    f.run(applyCommand({ "a" }));
    auto since = std::to_string(f.state.revision());
    std::thread change([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        f.store.submit(encodeFleetCommand("later", registerCommand("w1", "a")), {});
    });
    int code = f.cli({ "watch", "--since", since, "--once" });
    change.join();
    CHECK(code == 0);
    CHECK_THAT(f.out, Contains("instance/w1") && Contains("phase=serving") && Contains("pool=a"));
    CHECK(f.cli({ "watch", "--once", "--timeout-ms", "20" }) == codeOf(ExitCode::TimedOut));
}

TEST_CASE("explain prints what a wave is waiting for", "[cli]")
{
    OperatorFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    f.run(startWaveCommand("v", "pool=a"));
    f.run(commandWithEpoch(FleetOperation::InstanceLost, "w2"));
    CHECK(f.cli({ "explain", "wave", "v" }) == 0);
    CHECK_THAT(f.out,
        Contains(
            "w1 is waiting: service \"a\" has 1 of 2 instances down (w2 failed) and its budget allows 1"));
    CHECK(f.cli({ "explain", "instance", "w1" }) == 0);
    CHECK_THAT(f.out, Contains("is waiting for a permit of wave \"v\""));
}
