#include "celeryline/rpc/ControlServer.h"

#include "celeryline/base/Error.h"
#include "celeryline/base/SocketOptions.h"
#include "celeryline/rpc/Acceptor.h"
#include "celeryline/rpc/ControlConversion.h"
#include "celeryline/rpc/PackedStream.h"
#include "celeryline/settings/Logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <capnp/rpc-twoparty.h>

namespace celeryline {
namespace {

class ControlService final : public rpc::Control::Server {
public:
    explicit ControlService(ControlHandler& handler)
        : m_handler(handler)
    {
    }

    kj::Promise<void> raft(RaftContext context) override
    {
        m_handler.onRaft(detail::read(context.getParams().getMessage()));
        return kj::READY_NOW;
    }

    kj::Promise<void> introduce(IntroduceContext context) override
    {
        auto own = m_handler.onIntroduction(detail::read(context.getParams().getIntroduction()));
        detail::write(own, context.getResults().initIntroduction());
        return kj::READY_NOW;
    }

    kj::Promise<void> forward(ForwardContext context) override
    {
        auto answered = m_handler.onForwarded(detail::read(context.getParams().getRequest()));
        context.releaseParams();
        return answered.then([context](ForwardedResponse&& response) mutable {
            detail::write(response, context.getResults().initResponse());
        });
    }

private:
    ControlHandler& m_handler;
};

/// One accepted connection. The members are destroyed in reverse order.
struct Connection {
    Connection(kj::Own<kj::AsyncIoStream>&& accepted, ControlHandler& handler)
        : stream(kj::mv(accepted))
        , packed(*stream)
        , network(packed, capnp::rpc::twoparty::Side::SERVER)
        , rpcSystem(capnp::makeRpcServer(network, kj::heap<ControlService>(handler)))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    detail::PackedStream packed;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpcSystem;
};

} // namespace

ControlServer::ControlServer(
    kj::Timer& timer, kj::Network& network, const std::string& address, ControlHandler& handler)
    : m_handler(handler)
    , m_tasks(*this)
{
    try {
        Poco::Net::SocketAddress socketAddress(address);
        auto listener = network.getSockaddr(socketAddress.addr(), socketAddress.length())->listen();
        m_listener = kj::heap<detail::Acceptor>(timer, kj::mv(listener), detail::setSocketOptions);
    } catch (const kj::Exception& e) {
        throw Error(ErrorKind::InvalidSettings,
            "can't listen on " + address + ": " + e.getDescription().cStr(),
            "stop the process that uses the port, or set another one");
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidSettings, "can't listen on " + address + ": " + e.displayText(),
            "set the address to IP:port");
    }
    accept();
}

void ControlServer::accept()
{
    m_tasks.add(m_listener->accept().then([this](kj::Own<kj::AsyncIoStream>&& stream) {
        serve(kj::mv(stream));
        accept();
    }));
}

void ControlServer::serve(kj::Own<kj::AsyncIoStream>&& stream)
{
    auto connection = kj::heap<Connection>(kj::mv(stream), m_handler);
    auto ended = connection->network.onDisconnect();
    // Deferred, because a connection must not be destroyed in a continuation of one of its own promises.
    m_tasks.add(ended.then([] { return kj::evalLater([] {}); }).attach(kj::mv(connection)));
}

void ControlServer::taskFailed(kj::Exception&& exception)
{
    if (exception.getType() != kj::Exception::Type::DISCONNECTED)
        LOG4CXX_WARN(logger("rpc"), "task failed: " << exception.getDescription().cStr());
}

} // namespace celeryline
