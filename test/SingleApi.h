/// @file
/// The API of a control process for tests.
#pragma once

#include "JobKit.h"
#include "MemoryFileSystem.h"
#include "ReservedAddress.h"
#include "SingleNode.h"
#include "platform/PlatformApi.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

namespace celeryline::test {

/// The API of a control process with one queue, which can be restarted.
class SingleApi {
public:
    SingleApi() { start(true); }

    void restart()
    {
        m_api.reset();
        m_node.reset();
        start(false);
    }

    /// @param key the caller's API key; empty for none.
    ForwardedResponse call(const std::string& method, const std::string& target, const std::string& body = "",
        const std::string& key = "")
    {
        ForwardedRequest request;
        request.method = method;
        request.host = "jobs.example";
        request.target = target;
        request.body = body;
        request.credential = key;
        return m_api->handle(request).wait(m_io.waitScope);
    }

    ForwardedResponse submit(const std::string& target, const std::string& key = "")
    {
        return call(
            "POST", target, R"({"spec":"text","steps":[{"count":2,"cpu":500,"estimate_ms":900}]})", key);
    }

    /// Sends a configuration as an operator does.
    ForwardedResponse configure(const std::string& document)
    {
        ForwardedRequest request;
        request.origin = RequestOrigin::Operations;
        request.method = "PUT";
        request.target = "/config";
        request.body = document;
        return m_api->handle(request).wait(m_io.waitScope);
    }

    /// Commits a configuration that was decoded elsewhere.
    void accept(const QueueConfiguration& configuration)
    {
        bool isCommitted = false;
        m_node->node().master().request(AcceptConfiguration { configuration },
            [&](RequestOutcome outcome) { isCommitted = outcome == RequestOutcome::Done; });
        REQUIRE(m_node->waitFor([&] { return isCommitted; }));
    }

    template <typename Condition> bool waitFor(Condition condition) { return m_node->waitFor(condition); }

    const JobStore& store() const { return m_node->node().store(); }
    JobMaster& master() { return m_node->node().master(); }

    /// Cancels jobs that nobody submits, until their record has no more room for a customer.
    void fillCancelledIds(const std::string& customer = "")
    {
        for (std::size_t i = 0; i < CancelledJobIds::maxSize; ++i) {
            const CancelJob command { "x" + std::to_string(i), customer };
            m_node->node().master().request(command, [](RequestOutcome) {});
        }
        REQUIRE(m_node->waitFor(
            [&] { return store().cancelledIds().isFull(customer, store().cancelledIdsPart()); }));
    }

private:
    void start(bool isFirstStart)
    {
        m_node = std::make_unique<SingleNode>(m_io, m_files, m_address.text(), isFirstStart);
        REQUIRE(m_node->waitFor([&] { return m_node->node().isLeading(); }));
        m_api = std::make_unique<platform::PlatformApi>(m_node->node(), m_address.text());
        if (!isFirstStart)
            return;
        auto configuration = makeConfiguration();
        configuration.queues[0].key = "jobs.example/work/";
        accept(configuration);
    }

    MemoryFileSystem m_files;
    kj::AsyncIoContext m_io = kj::setupAsyncIo();
    const ReservedAddress m_address;
    std::unique_ptr<SingleNode> m_node;
    std::unique_ptr<platform::PlatformApi> m_api;
};

} // namespace celeryline::test
