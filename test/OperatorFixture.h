/// @file
/// An operators' API on a loopback port for tests.
#pragma once

#include "FleetFixture.h"
#include "celeryline/Error.h"
#include "celeryline/HttpServer.h"
#include "celeryline/OperatorApi.h"

#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace celeryline::test {

/// A store that applies at once, as a single voter would.
class LocalStore final : public Store {
public:
    explicit LocalStore(ReplicatedState& state)
        : m_state(state)
    {
    }

    CommandResult submit(const Command& command, Millis) override
    {
        std::lock_guard<std::mutex> guard(m_lock);
        if (!isAvailable) {
            throw Error(ErrorKind::Unavailable, "no leader can be reached", "try again later");
        }
        auto result = m_state.apply(++m_index, now, command);
        ids.push_back(command.id);
        if (losesAnswer) {
            losesAnswer = false;
            throw Error(ErrorKind::TimedOut, "the result is not known", "send the same command id again");
        }
        return result;
    }

    StoreStatus status() const override
    {
        StoreStatus status;
        status.role = role;
        status.leader = "entry-1";
        status.hasQuorum = isAvailable;
        status.revision = m_state.revision();
        return status;
    }

    ConsensusRole role = ConsensusRole::Leader;
    bool isAvailable = true;
    bool losesAnswer = false; ///< The next command is applied but its result is lost.
    Millis now;
    std::vector<std::string> ids;

private:
    ReplicatedState& m_state;
    std::mutex m_lock;
    std::uint64_t m_index = 1000000;
};

/// A fixed list of upstreams.
class FixedUpstreams final : public UpstreamView {
public:
    std::shared_ptr<const UpstreamSnapshot> upstreams() const override { return snapshot; }

    std::shared_ptr<const UpstreamSnapshot> snapshot = std::make_shared<const UpstreamSnapshot>();
};

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
