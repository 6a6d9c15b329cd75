#include "celeryline/rpc/PeerServer.h"

#include "celeryline/base/Error.h"
#include "celeryline/base/SocketOptions.h"
#include "celeryline/rpc/Acceptor.h"
#include "celeryline/rpc/PackedStream.h"
#include "celeryline/rpc/PeerService.h"
#include "celeryline/rpc/RpcLoop.h"
#include "celeryline/settings/Logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <capnp/rpc-twoparty.h>

#include <atomic>
#include <map>

namespace celeryline {

namespace {

/// Limits the file descriptors that unauthenticated clients can occupy; each peer needs only one connection.
constexpr std::size_t maxConnections = 256;
constexpr std::chrono::seconds authenticationTimeout { 5 };

/// One accepted connection.
struct Connection {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<detail::PackedStream> packed;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpcSystem;
    bool isAuthenticated = false; ///< The client has presented the peer token.
};

} // namespace

class PeerServer::Impl final : public kj::TaskSet::ErrorHandler {
public:
    Impl(const std::string& address, const std::string& token, PeerHandler& handler)
        : m_address(address)
        , m_token(token)
        , m_handler(handler)
    {
    }

    void start()
    {
        try {
            m_loop.run([this] { listen(); });
        } catch (const kj::Exception& e) {
            throw Error(ErrorKind::InvalidSettings,
                "can't listen on " + m_address + ": " + e.getDescription().cStr(),
                "set another peerListen in the settings or stop the process that uses the address");
        } catch (const Poco::Exception& e) {
            throw Error(ErrorKind::InvalidSettings, "can't listen on " + m_address + ": " + e.displayText(),
                "set peerListen to IP:port");
        }
    }

    void stop()
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        m_workers.submits.stop();
        m_workers.others.stop();
        m_loop.run([] {}); // Lets results of the last calls be written before the connections are closed.
        m_loop.run([this] {
            m_tasks = nullptr;
            m_connections.clear();
            m_listener = nullptr;
        });
        m_loop.stop();
    }

    std::uint16_t port() const { return m_port; }

private:
    void listen()
    {
        Poco::Net::SocketAddress address(m_address);
        auto listener = m_loop.network().getSockaddr(address.addr(), address.length())->listen();
        m_listener = kj::heap<detail::Acceptor>(m_loop.timer(), kj::mv(listener), detail::setSocketOptions);
        m_port = static_cast<std::uint16_t>(m_listener->getPort());
        m_tasks = kj::heap<kj::TaskSet>(*this);
        accept();
    }

    void accept()
    {
        m_tasks->add(m_listener->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
            serve(kj::mv(stream));
            accept();
        }));
    }

    void serve(kj::Own<kj::AsyncIoStream>&& stream)
    {
        if (m_connections.size() >= maxConnections) {
            LOG4CXX_WARN(logger("rpc"), "rejected a connection: " << maxConnections << " are already open");
            return;
        }
        auto number = ++m_lastConnectionNumber;
        auto& connection = m_connections[number];
        connection.stream = kj::mv(stream);
        connection.packed = kj::heap<detail::PackedStream>(*connection.stream);
        connection.network
            = kj::heap<capnp::TwoPartyVatNetwork>(*connection.packed, capnp::rpc::twoparty::Side::SERVER);
        rpc::Gate::Client gate = kj::heap<detail::GateService>(m_token, m_handler, m_workers, [this, number] {
            auto found = m_connections.find(number);
            if (found != m_connections.end()) {
                found->second.isAuthenticated = true;
            }
        });
        connection.rpcSystem = kj::heap(capnp::makeRpcServer(*connection.network, gate));
        // Deferred, because a connection must not be destroyed in a continuation of one of its own promises.
        auto remove = [this, number] {
            m_tasks->add(kj::evalLater([this, number] { m_connections.erase(number); }));
        };
        // then() stores only a reference to a callable that is passed as an lvalue, hence the lambdas.
        m_tasks->add(connection.network->onDisconnect().then(
            [remove] { remove(); }, [remove](kj::Exception&&) { remove(); }));
        m_tasks->add(m_loop.timer().afterDelay(detail::toKj(authenticationTimeout)).then([this, number] {
            auto found = m_connections.find(number);
            if (found != m_connections.end() && !found->second.isAuthenticated) {
                m_connections.erase(found);
            }
        }));
    }

    void taskFailed(kj::Exception&& e) override
    {
        LOG4CXX_WARN(logger("rpc"), "task failed: " << e.getDescription().cStr());
    }

    const std::string m_address;
    const std::string m_token;
    PeerHandler& m_handler;
    detail::PeerWorkers m_workers;
    std::atomic<bool> m_isStopped { false };
    std::atomic<std::uint16_t> m_port { 0 };
    std::uint64_t m_lastConnectionNumber = 0;
    // The members below are accessed only on the loop's thread.
    kj::Own<kj::ConnectionReceiver> m_listener;
    std::map<std::uint64_t, Connection> m_connections;
    kj::Own<kj::TaskSet> m_tasks;
    detail::RpcLoop m_loop;
};

PeerServer::PeerServer(const std::string& address, const std::string& token, PeerHandler& handler)
    : m_impl(std::make_unique<Impl>(address, token, handler))
{
}

PeerServer::~PeerServer() { stop(); }

void PeerServer::start() { m_impl->start(); }

void PeerServer::stop() { m_impl->stop(); }

std::uint16_t PeerServer::port() const { return m_impl->port(); }

} // namespace celeryline
