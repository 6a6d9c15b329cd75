/// @file
/// A control process for tests.
#pragma once

#include "celeryline/control/ControlNode.h"

#include "MemoryFileSystem.h"

#include <kj/async-io.h>

#include <string>

namespace celeryline::test {

/// A single control process on the test's event loop.
class SingleNode {
public:
    SingleNode(kj::AsyncIoContext& io, MemoryFileSystem& files, const std::string& address, bool isFirstStart)
        : m_io(io)
        , m_node(options(address, isFirstStart), io.provider->getTimer(), io.provider->getNetwork(), m_clock,
              files)
    {
        // A process forms the log when it receives an introduction.
        ControlLinks links(io.provider->getTimer(), io.provider->getNetwork());
        links.to(address).introduce({}, { 1000 }).wait(io.waitScope);
    }

    static constexpr const char* dataCentre = "centre";
    static constexpr kj::Duration waitTimeout = 20 * kj::SECONDS;

    ControlNode& node() { return m_node; }

    /// Runs the event loop until a condition holds or a timeout expires.
    /// @return whether the condition holds.
    template <typename Condition> bool waitFor(Condition condition)
    {
        auto& timer = m_io.provider->getTimer();
        auto end = timer.now() + waitTimeout;
        while (!condition() && timer.now() < end)
            timer.afterDelay(5 * kj::MILLISECONDS).wait(m_io.waitScope);
        return condition();
    }

private:
    static ControlNodeOptions options(const std::string& address, bool isFirstStart)
    {
        ControlNodeOptions options;
        options.address = address;
        options.dataCentre = dataCentre;
        options.seeds = { address };
        options.isFirstStart = isFirstStart;
        options.voters = 1;
        options.directory = "data";
        return options;
    }

    kj::AsyncIoContext& m_io;
    SystemClock m_clock;
    ControlNode m_node;
};

} // namespace celeryline::test
