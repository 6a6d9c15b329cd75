#include "celeryline/rpc/PeerLink.h"

#include "celeryline/rpc/PackedStream.h"
#include "celeryline/rpc/RpcConversion.h"
#include "celeryline/settings/Logging.h"

#include <Poco/Net/SocketAddress.h>
#include <capnp/rpc-twoparty.h>

#include <algorithm>

namespace celeryline::detail {

using std::chrono::steady_clock;

namespace {

constexpr std::size_t maxQueuedMessages = 1024;
constexpr std::size_t maxQueuedBytes = 16777216;
// Messages that exceed this window stay in the queue, where the oldest can still be dropped.
constexpr std::size_t maxInFlight = 128;
constexpr std::size_t maxInFlightBytes = 8388608;
constexpr Millis minBackoff { 50 };
constexpr Millis maxBackoff { 1000 };

std::string describe(const kj::Exception& exception)
{
    if (auto error = readError(exception)) {
        return error->what();
    }
    if (exception.getType() == kj::Exception::Type::OVERLOADED) {
        return "deadline exceeded";
    }
    return exception.getDescription().cStr();
}

kj::Promise<void> sendRequest(rpc::Peer::Client& peer, const RaftMessage& message)
{
    auto call = peer.raftRequest();
    write(message, call.initMessage());
    return call.send().ignoreResult();
}

kj::Promise<void> sendRequest(rpc::Peer::Client& peer, const RegistryDelta& delta)
{
    auto call = peer.deltaRequest();
    write(delta, call.initDelta());
    return call.send().ignoreResult();
}

kj::Promise<void> sendRequest(rpc::Peer::Client& peer, const Heartbeat& heartbeat)
{
    auto call = peer.heartbeatRequest();
    write(heartbeat, call.initHeartbeat());
    return call.send().ignoreResult();
}

} // namespace

/// An open connection. The members are destroyed in reverse order, the calls first.
struct PeerLink::Connection {
    explicit Connection(kj::TaskSet::ErrorHandler& errorHandler)
        : tasks(errorHandler)
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<PackedStream> packed;
    kj::Own<capnp::TwoPartyVatNetwork> network;
    kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpcSystem;
    rpc::Peer::Client peer = nullptr;
    bool isDisconnectScheduled = false;
    kj::TaskSet tasks;
};

PeerLink::PeerLink(RpcLoop& loop, const PeerLinkOptions& options)
    : m_loop(loop)
    , m_options(options)
    , m_queue(maxQueuedMessages, maxQueuedBytes)
    , m_backoff(minBackoff)
{
}

PeerLink::~PeerLink() = default;

void PeerLink::push(PeerMessage message)
{
    // If the queue wasn't empty, sending is already scheduled or in progress.
    if (m_queue.push(std::move(message))) {
        m_loop.post([this] {
            if (m_state == State::Idle) {
                connect();
            }
            sendQueued();
        });
    }
}

void PeerLink::start(const std::shared_ptr<PeerCall>& call)
{
    m_loop.post([this, call] { startOnLoop(call); });
}

void PeerLink::startOnLoop(const std::shared_ptr<PeerCall>& call)
{
    if (m_state == State::Closed) {
        call->finish(
            Error(ErrorKind::Unavailable, "this instance is shutting down", "call another instance"));
        return;
    }
    if (m_state == State::Open && !m_connection->isDisconnectScheduled) {
        send(call);
        return;
    }
    m_waitingCalls.push_back(call);
    if (m_state == State::Idle) {
        connect();
    }
}

void PeerLink::connect()
{
    m_state = State::Connecting;
    ++m_connectionNumber;
    m_connection = std::make_unique<Connection>(*this);
    if (!m_tasks) {
        m_tasks = kj::heap<kj::TaskSet>(*this);
    }
    Poco::Net::SocketAddress socketAddress(m_options.address);
    auto address = m_loop.network().getSockaddr(socketAddress.addr(), socketAddress.length());
    auto stream = address->connect();
    auto opened = stream.attach(kj::mv(address)).then([this](kj::Own<kj::AsyncIoStream>&& connected) {
        return authenticate(kj::mv(connected));
    });
    auto deadline = toKj(m_options.sendDeadline.toChrono());
    m_tasks->add(m_loop.timer()
                     .timeoutAfter(deadline, kj::mv(opened))
                     .then([this] { onConnected(); }, [this](kj::Exception&& e) { onConnectFailed(e); }));
}

kj::Promise<void> PeerLink::authenticate(kj::Own<kj::AsyncIoStream>&& stream)
{
    setSocketOptions(*stream);
    auto& connection = *m_connection;
    connection.stream = kj::mv(stream);
    connection.packed = kj::heap<PackedStream>(*connection.stream);
    connection.network
        = kj::heap<capnp::TwoPartyVatNetwork>(*connection.packed, capnp::rpc::twoparty::Side::CLIENT);
    connection.rpcSystem = kj::heap(capnp::makeRpcClient(*connection.network));
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    auto request = connection.rpcSystem->bootstrap(server).castAs<rpc::Gate>().openRequest();
    request.setToken(m_options.token);
    request.setName(m_options.self);
    return request.send().then([&connection](capnp::Response<rpc::Gate::OpenResults>&& response) {
        connection.peer = response.getPeer();
    });
}

void PeerLink::onConnected()
{
    m_state = State::Open;
    m_backoff = minBackoff;
    m_isFailureLogged = false;
    LOG4CXX_INFO(logger("rpc"), "connected to " << m_options.peer);
    m_connection->tasks.add(
        m_connection->network->onDisconnect().then([this] { scheduleDisconnect("closed by the peer"); }));
    std::vector<std::shared_ptr<PeerCall>> calls;
    calls.swap(m_waitingCalls);
    for (const auto& call : calls) {
        send(call);
    }
    sendQueued();
}

void PeerLink::onConnectFailed(const kj::Exception& exception)
{
    auto error = readError(exception);
    bool isRefused = error && error->kind() == ErrorKind::Refused;
    std::string reason = "can't connect to " + m_options.peer + " at " + m_options.address;
    if (!m_isFailureLogged) {
        m_isFailureLogged = true; // Log only the first of consecutive failures.
        LOG4CXX_WARN(logger("rpc"), reason << ": " << describe(exception));
    }
    m_connection.reset();
    for (const auto& call : m_waitingCalls) {
        call->finish(isRefused ? *error
                               : Error(ErrorKind::Unavailable, reason + ": " + describe(exception),
                                   "check that it is running, or call another instance"));
    }
    m_waitingCalls.clear();
    m_backoff = isRefused ? maxBackoff : m_backoff;
    scheduleReconnect();
}

void PeerLink::scheduleReconnect()
{
    m_state = State::BackingOff;
    auto delay = toKj(m_backoff.toChrono());
    m_backoff = std::min(m_backoff + m_backoff, maxBackoff);
    m_tasks->add(m_loop.timer().afterDelay(delay).then([this] {
        m_state = State::Idle;
        if (!m_queue.isEmpty() || !m_waitingCalls.empty()) {
            connect();
        }
    }));
}

void PeerLink::send(const std::shared_ptr<PeerCall>& call)
{
    if (!call->markSent()) {
        return;
    }
    m_sentCalls.insert(call);
    auto answered
        = m_loop.timer().timeoutAfter(toKj(call->remaining()), call->requestSender()(m_connection->peer));
    m_connection->tasks.add(answered.then([this, call] { endCall(call, std::nullopt); },
        [this, call](kj::Exception&& e) {
            auto error = readError(e);
            if (!error) {
                error
                    = Error(ErrorKind::TimedOut, "the call to " + m_options.peer + " failed: " + describe(e),
                        "send the same command id again to learn the result");
            }
            endCall(call, error);
            if (e.getType() != kj::Exception::Type::FAILED) {
                scheduleDisconnect(describe(e));
            }
        }));
}

void PeerLink::endCall(const std::shared_ptr<PeerCall>& call, std::optional<Error> error)
{
    m_sentCalls.erase(call);
    call->finish(std::move(error));
}

void PeerLink::sendQueued()
{
    if (m_state != State::Open || m_connection->isDisconnectScheduled) {
        return;
    }
    auto notBefore = steady_clock::now() - m_options.sendDeadline.toChrono();
    while (m_inFlight < maxInFlight && m_inFlightBytes < maxInFlightBytes) {
        auto queued = m_queue.pop(notBefore);
        if (!queued) {
            return;
        }
        sendMessage(std::move(*queued));
    }
}

void PeerLink::sendMessage(QueuedMessage queued)
{
    auto& peer = m_connection->peer;
    auto sent
        = std::visit([&peer](const auto& message) { return sendRequest(peer, message); }, queued.message);
    std::size_t bytes = queued.bytes;
    ++m_inFlight;
    m_inFlightBytes += bytes;
    auto confirmed = m_loop.timer().timeoutAfter(toKj(m_options.sendDeadline.toChrono()), kj::mv(sent));
    auto onEnd = [this, bytes] {
        --m_inFlight;
        m_inFlightBytes -= bytes;
        sendQueued();
    };
    m_connection->tasks.add(confirmed.then([onEnd] { onEnd(); },
        [this, onEnd](kj::Exception&& e) {
            onMessageFailed(e);
            onEnd();
        }));
}

void PeerLink::onMessageFailed(const kj::Exception& exception)
{
    if (exception.getType() == kj::Exception::Type::FAILED) {
        LOG4CXX_DEBUG(logger("rpc"), m_options.peer << " rejected a message: " << describe(exception));
        return;
    }
    scheduleDisconnect(describe(exception));
}

void PeerLink::scheduleDisconnect(const std::string& reason)
{
    if (m_connection->isDisconnectScheduled) {
        return;
    }
    m_connection->isDisconnectScheduled = true;
    // Deferred, because a connection must not be destroyed in a continuation of one of its own promises.
    m_tasks->add(kj::evalLater([this, reason, number = m_connectionNumber] {
        if (number == m_connectionNumber && m_state == State::Open) {
            disconnect(reason);
            scheduleReconnect();
        }
    }));
}

void PeerLink::disconnect(const std::string& reason)
{
    LOG4CXX_INFO(logger("rpc"), "closed the connection to " << m_options.peer << ": " << reason);
    m_closedBytes = bytes();
    m_connection.reset();
    m_inFlight = 0;
    m_inFlightBytes = 0;
    std::set<std::shared_ptr<PeerCall>> calls;
    calls.swap(m_sentCalls);
    for (const auto& call : calls) {
        call->finish(
            Error(ErrorKind::TimedOut, "the connection to " + m_options.peer + " was lost: " + reason,
                "send the same command id again to learn the result"));
    }
}

void PeerLink::close()
{
    m_state = State::Closed;
    if (m_connection) {
        disconnect("this instance is shutting down");
    }
    for (const auto& call : m_waitingCalls) {
        call->finish(
            Error(ErrorKind::Unavailable, "this instance is shutting down", "call another instance"));
    }
    m_waitingCalls.clear();
    m_tasks = nullptr;
}

ByteCounters PeerLink::bytes() const
{
    auto total = m_closedBytes;
    if (m_connection && m_connection->stream) {
        auto open = readByteCounters(*m_connection->stream);
        total.sent += open.sent;
        total.received += open.received;
    }
    return total;
}

void PeerLink::taskFailed(kj::Exception&& exception)
{
    LOG4CXX_WARN(logger("rpc"), "task failed: " << describe(exception));
}

} // namespace celeryline::detail
