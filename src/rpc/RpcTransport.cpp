#include "celeryline/rpc/RpcTransport.h"

#include "celeryline/rpc/PeerLink.h"
#include "celeryline/rpc/RpcConversion.h"
#include "celeryline/settings/Logging.h"

#include <atomic>
#include <map>

namespace celeryline {

using detail::PeerCall;
using detail::PeerLink;

class RpcTransport::Impl {
public:
    explicit Impl(const RpcOptions& options)
    {
        for (const auto& peer : options.peers) {
            detail::PeerLinkOptions link { options.name, options.token, peer.name, peer.peer,
                options.sendDeadline };
            m_links[peer.name] = std::make_unique<PeerLink>(m_loop, link);
        }
    }

    ~Impl() { stop(); }

    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        m_loop.run([this] {
            for (auto& [name, link] : m_links) {
                link->close();
            }
        });
        m_loop.stop();
    }

    void push(const std::string& peer, detail::PeerMessage message)
    {
        auto found = m_links.find(peer);
        if (found == m_links.end()) {
            LOG4CXX_DEBUG(logger("rpc"), "dropped a message to unknown instance " << peer);
        } else if (!m_isStopped) {
            found->second->push(std::move(message));
        }
    }

    /// @param sendRequest sends a request and stores its converted result.
    template <typename Result, typename SendRequest>
    Result call(const std::string& peer, Millis timeout, SendRequest sendRequest)
    {
        auto found = m_links.find(peer);
        if (found == m_links.end() || m_isStopped) {
            throw Error(ErrorKind::Unavailable,
                found == m_links.end() ? "instance \"" + peer + "\" is unknown"
                                       : "this instance is shutting down",
                "call one of the peers in the settings");
        }
        auto result = std::make_shared<Result>();
        auto sender
            = [result, sendRequest](rpc::Peer::Client& client) { return sendRequest(client, result); };
        auto pending = std::make_shared<PeerCall>(sender, timeout);
        found->second->start(pending);
        pending->wait();
        return std::move(*result);
    }

    PeerTraffic traffic(const std::string& peer)
    {
        detail::ByteCounters bytes;
        auto found = m_links.find(peer);
        if (found != m_links.end() && !m_isStopped) {
            m_loop.run([&] { bytes = found->second->bytes(); });
        }
        return { bytes.sent, bytes.received };
    }

private:
    std::atomic<bool> m_isStopped { false };
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    detail::RpcLoop m_loop; // Declared last, so that it stops before the links are destroyed.
};

RpcTransport::RpcTransport(const RpcOptions& options)
    : m_impl(std::make_unique<Impl>(options))
{
}

RpcTransport::~RpcTransport() = default;

void RpcTransport::sendRaft(const std::string& peer, RaftMessage message)
{
    m_impl->push(peer, std::move(message));
}

void RpcTransport::sendDelta(const std::string& peer, RegistryDelta delta)
{
    m_impl->push(peer, std::move(delta));
}

void RpcTransport::sendHeartbeat(const std::string& peer, const Heartbeat& heartbeat)
{
    m_impl->push(peer, heartbeat);
}

CommandResult RpcTransport::submit(const std::string& peer, const Command& command, Millis timeout)
{
    return m_impl->call<CommandResult>(
        peer, timeout, [command](rpc::Peer::Client& client, const auto& result) {
            auto request = client.submitRequest();
            detail::write(command, request.initCommand());
            return request.send().then(
                [result](auto&& response) { *result = detail::read(response.getResult()); });
        });
}

RegistryDelta RpcTransport::fullCopy(const std::string& peer, Millis timeout)
{
    return m_impl->call<RegistryDelta>(peer, timeout, [](rpc::Peer::Client& client, const auto& result) {
        return client.fullCopyRequest().send().then(
            [result](auto&& response) { *result = detail::read(response.getCopy()); });
    });
}

CreditGrant RpcTransport::requestCredits(
    const std::string& peer, const CreditRequest& credits, Millis timeout)
{
    return m_impl->call<CreditGrant>(peer, timeout, [credits](rpc::Peer::Client& client, const auto& result) {
        auto request = client.creditsRequest();
        detail::write(credits, request.initRequest());
        return request.send().then(
            [result](auto&& response) { *result = detail::read(response.getGrant()); });
    });
}

Hello RpcTransport::hello(const std::string& peer, const Hello& hello, Millis timeout)
{
    return m_impl->call<Hello>(peer, timeout, [hello](rpc::Peer::Client& client, const auto& result) {
        auto request = client.helloRequest();
        detail::write(hello, request.initHello());
        return request.send().then(
            [result](auto&& response) { *result = detail::read(response.getHello()); });
    });
}

void RpcTransport::stop() { m_impl->stop(); }

PeerTraffic RpcTransport::traffic(const std::string& peer) { return m_impl->traffic(peer); }

} // namespace celeryline
