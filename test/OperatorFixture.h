/// @file
/// An operators' API on a loopback port for tests.
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

/// An operators' API on a loopback port, and the command line run against it.
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
            { "entry-2", "dc2", laggard ? 0 : revision, !laggard } };
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    /// Runs a subcommand against the server and keeps what it prints.
    int cli(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin() + 1, { "--server", address() });
        return cliWithoutServer(arguments);
    }

    int cliWithoutServer(const std::vector<std::string>& arguments)
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

    bool laggard = false; ///< The second entry instance is not reached.
    std::string out;
    std::string error;
    ManualClock clock;
    FixedUpstreams upstreams;
    LocalStore store { state };
    OperatorApi api;
    HttpServer server;
};

} // namespace celeryline::test
