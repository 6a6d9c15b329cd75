/// @file
/// Test fixture with an OperatorApi on a loopback port.
#pragma once

#include "FleetFixture.h"
#include "LocalStore.h"
#include "celeryline/http/HttpServer.h"
#include "celeryline/operators/OperatorApi.h"

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace celeryline::test {

/// Serves an OperatorApi on a loopback port and runs command lines against it.
struct OperatorFixture : StateFixture {
    OperatorFixture()
        : api({ "entry-1", "dc1" }, store, state, upstreams, clock, [this] { return entries(); })
        , server("127.0.0.1:0", limits())
    {
        server.route("/v1", api);
        server.start();
    }

    static LimitSettings limits()
    {
        LimitSettings limits;
        limits.maxConnections = 16;
        limits.maxHeaderBytes = 16384;
        limits.maxBodyBytes = 1 << 20;
        limits.receiveTimeout = Millis { 2000 };
        limits.keepAliveTimeout = Millis { 500 };
        return limits;
    }

    std::vector<InForceEntry> entries() const
    {
        auto revision = state.revision();
        return { { "entry-1", "dc1", revision, true },
            { "entry-2", "dc2", isSecondUnreachable ? 0 : revision, !isSecondUnreachable } };
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    /// Runs a subcommand against the server and stores its output in `out` and `error`.
    int cli(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin() + 1, { "--server", address() });
        return cliWithoutServerOption(arguments);
    }

    int cliWithoutServerOption(const std::vector<std::string>& arguments)
    {
        std::ostringstream outText;
        std::ostringstream errorText;
        auto* outBuffer = std::cout.rdbuf(outText.rdbuf());
        auto* errorBuffer = std::cerr.rdbuf(errorText.rdbuf());
        int code = runSubcommand(arguments);
        std::cout.rdbuf(outBuffer);
        std::cerr.rdbuf(errorBuffer);
        out = outText.str();
        error = errorText.str();
        return code;
    }

    static int runSubcommand(const std::vector<std::string>& arguments);

    bool isSecondUnreachable = false; ///< entry-2 is unreachable and has applied no revision.
    std::string out;
    std::string error;
    ManualClock clock;
    FakeUpstreamView upstreams;
    LocalStore store { state };
    OperatorApi api;
    HttpServer server;
};

} // namespace celeryline::test
