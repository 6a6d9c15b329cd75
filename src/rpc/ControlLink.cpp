#include "celeryline/rpc/ControlLink.h"

#include "celeryline/base/SocketAddress.h"
#include "celeryline/base/SocketOptions.h"
#include "celeryline/rpc/ControlConversion.h"
#include "celeryline/rpc/PackedStream.h"
#include "celeryline/settings/Logging.h"

#include <capnp/rpc-twoparty.h>

#include <utility>

namespace celeryline {
namespace {

/// A machine that is starting up drops the SYN packet, and the kernel retransmits it only after a second.
constexpr kj::Duration connectTimeout = 300 * kj::MILLISECONDS;
constexpr kj::Duration reconnectDelay = 100 * kj::MILLISECONDS;
/// Limit of consensus messages queued while connecting; the oldest are kept, since an election needs them.
constexpr std::size_t maxPendingRaft = 16;
/// If a consensus message isn't acknowledged within this time and nothing else was received, the connection
/// is considered dead. Short enough that a sound voter is reached on a new connection before the leader
/// counts it as lost.
constexpr kj::Duration raftTimeout = 500 * kj::MILLISECONDS;
/// A call that times out closes the connection only if nothing was received for this time.
constexpr kj::Duration maxSilence = 500 * kj::MILLISECONDS;
/// Further messages are dropped, so that they don't accumulate for a slow receiver; consensus resends them.
constexpr std::size_t maxRaftInFlight = 64;

kj::Duration toKj(Millis time) { return time.count * kj::MILLISECONDS; }

/// @throws kj::Exception if the text isn't a socket address.
kj::Own<kj::NetworkAddress> networkAddress(kj::Network& network, const std::string& text)
{
    auto address = parseSocketAddress(text);
    KJ_REQUIRE(address.has_value(), "the address of a control process must be IP:port", text.c_str());
    return network.getSockaddr(address->addr(), address->length());
}

} // namespace

/// An open connection. The members are destroyed in reverse order, the calls first.
struct ControlLink::Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream>&& opened)
        : stream(kj::mv(opened))
        , packed(*stream, [this] { onReceived(); })
        , network(packed, capnp::rpc::twoparty::Side::CLIENT)
        , rpcSystem(capnp::makeRpcClient(network))
    {
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        control = rpcSystem.bootstrap(server).castAs<rpc::Control>();
    }

    /// Records that a message is sent.
    void onSent(kj::TimePoint now)
    {
        if (unansweredSince == nullptr)
            unansweredSince = now;
    }

    /// Records that a message was received. Late responses count too: their calls may have timed out, but the
    /// connection works.
    void onReceived() { unansweredSince = nullptr; }

    /// @return whether messages have been sent for maxSilence while none was received.
    bool isSilent(kj::TimePoint now) const
    {
        KJ_IF_MAYBE (since, unansweredSince)
            return now - *since >= maxSilence;
        return false;
    }

    kj::Own<kj::AsyncIoStream> stream;
    detail::PackedStream packed;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpcSystem;
    rpc::Control::Client control = nullptr;
    kj::Maybe<kj::TimePoint>
        unansweredSince; ///< The first message since the last one received; null if none.
    kj::Canceler calls;
};

ControlLink::ControlLink(kj::Timer& timer, kj::Network& network, std::string address)
    : m_timer(timer)
    , m_network(network)
    , m_address(std::move(address))
    , m_retryAt(timer.now())
    , m_tasks(*this)
{
}

ControlLink::~ControlLink()
{
    if (m_connection)
        m_connection->calls.cancel("the connection is closed");
}

kj::Promise<void> ControlLink::whenConnected()
{
    if (m_connection && !m_isDisconnectScheduled)
        return kj::READY_NOW;
    if (m_connecting == nullptr)
        startConnecting();
    KJ_IF_MAYBE (connecting, m_connecting)
        return connecting->addBranch();
    return KJ_EXCEPTION(DISCONNECTED, "not connected");
}

void ControlLink::startConnecting()
{
    auto retryDelay = m_timer.atTime(kj::max(m_retryAt, m_timer.now()));
    auto stream = retryDelay.then([this] {
        auto address = networkAddress(m_network, m_address);
        return m_timer.timeoutAfter(connectTimeout, address->connect()).attach(kj::mv(address));
    });
    m_connecting = stream
                       .then([this](kj::Own<kj::AsyncIoStream>&& opened) { onConnected(kj::mv(opened)); },
                           [this](kj::Exception&& e) {
                               m_retryAt = m_timer.now() + reconnectDelay;
                               if (!m_isFailureLogged) {
                                   LOG4CXX_WARN(logger("rpc"),
                                       "can't connect to " << m_address << ": " << e.getDescription().cStr());
                               }
                               m_isFailureLogged = true; // Log only the first of consecutive failures.
                               m_tasks.add(kj::evalLater([this] { m_connecting = nullptr; }));
                               kj::throwFatalException(kj::mv(e));
                           })
                       .fork();
}

void ControlLink::onConnected(kj::Own<kj::AsyncIoStream>&& stream)
{
    detail::setSocketOptions(*stream);
    m_connection = std::make_unique<Connection>(kj::mv(stream));
    m_isDisconnectScheduled = false;
    m_raftInFlight = 0;
    ++m_connectionNumber;
    if (m_isFailureLogged)
        LOG4CXX_INFO(logger("rpc"), "connected to " << m_address << " again");
    m_isFailureLogged = false;
    m_tasks.add(kj::evalLater([this] { m_connecting = nullptr; }));
    auto number = m_connectionNumber;
    m_tasks.add(m_connection->calls.wrap(m_connection->network.onDisconnect()).then([this, number] {
        if (number == m_connectionNumber)
            scheduleDisconnect("closed by the peer");
    }));
}

void ControlLink::scheduleDisconnect(const std::string& reason)
{
    if (!m_connection || m_isDisconnectScheduled)
        return;
    m_isDisconnectScheduled = true;
    // Deferred, because a connection must not be destroyed in a continuation of one of its own promises.
    m_tasks.add(kj::evalLater([this, reason] {
        LOG4CXX_INFO(logger("rpc"), "closed the connection to " << m_address << ": " << reason);
        m_connection->calls.cancel(kj::str("connection closed: ", reason.c_str()));
        m_connection.reset();
        m_isDisconnectScheduled = false;
    }));
}

template <typename Result, typename Call>
kj::Promise<CallResult<Result>> ControlLink::call(Millis timeout, Call&& sendRequest)
{
    auto sent = std::make_shared<SentCall>(SentCall { 0, m_timer.now() });
    auto answered = whenConnected().then([this, sent, sendRequest = kj::fwd<Call>(sendRequest)]() mutable {
        *sent = { m_connectionNumber, m_timer.now() };
        m_connection->onSent(sent->at);
        return m_connection->calls.wrap(sendRequest(m_connection->control));
    });
    return m_timer.timeoutAfter(toKj(timeout), kj::mv(answered))
        .then(
            [](Result&& result) {
                CallResult<Result> answer;
                answer.hasResult = true;
                answer.result = kj::mv(result);
                return answer;
            },
            [this, sent](kj::Exception&& e) {
                if (e.getType() == kj::Exception::Type::OVERLOADED)
                    onCallTimeout(*sent);
                CallResult<Result> answer;
                answer.failure = sent->connection != 0 ? CallFailure::Unknown : CallFailure::NotSent;
                return answer;
            });
}

void ControlLink::onCallTimeout(const SentCall& sent)
{
    if (!m_connection || sent.connection != m_connectionNumber)
        return;
    // A peer that is late still responds. Closing its connection would lose all that is in flight, which
    // would then be sent again and delay the peer further.
    if (m_connection->isSilent(m_timer.now()))
        scheduleDisconnect("a call timed out");
}

kj::Promise<CallResult<ForwardedResponse>> ControlLink::forward(
    const ForwardedRequest& request, Millis timeout)
{
    return call<ForwardedResponse>(timeout, [request](rpc::Control::Client& control) {
        auto message = control.forwardRequest();
        detail::write(request, message.initRequest());
        return message.send().then([](capnp::Response<rpc::Control::ForwardResults>&& response) {
            return detail::read(response.getResponse());
        });
    });
}

kj::Promise<CallResult<Introduction>> ControlLink::introduce(const Introduction& own, Millis timeout)
{
    return call<Introduction>(timeout, [own](rpc::Control::Client& control) {
        auto message = control.introduceRequest();
        detail::write(own, message.initIntroduction());
        return message.send().then([](capnp::Response<rpc::Control::IntroduceResults>&& response) {
            return detail::read(response.getIntroduction());
        });
    });
}

void ControlLink::queueRaft(RaftMessage message)
{
    if (m_pendingRaft.empty()) {
        m_tasks.add(whenConnected().then(
            [this] {
                auto pending = std::exchange(m_pendingRaft, {});
                for (auto& each : pending)
                    sendRaft(std::move(each));
            },
            [this](kj::Exception&&) { m_pendingRaft.clear(); }));
    }
    if (m_pendingRaft.size() < maxPendingRaft)
        m_pendingRaft.push_back(std::move(message));
}

void ControlLink::sendRaft(RaftMessage message)
{
    if (!m_connection || m_isDisconnectScheduled) {
        queueRaft(std::move(message));
        return;
    }
    if (m_raftInFlight >= maxRaftInFlight)
        return;
    ++m_raftInFlight;
    auto request = m_connection->control.raftRequest();
    detail::write(message, request.initMessage());
    m_connection->onSent(m_timer.now());
    auto number = m_connectionNumber;
    auto sent = m_timer.timeoutAfter(raftTimeout, m_connection->calls.wrap(request.send().ignoreResult()));
    m_tasks.add(sent.then(
        [this, number] {
            if (number != m_connectionNumber)
                return;
            --m_raftInFlight;
        },
        [this, number](kj::Exception&& e) {
            if (number != m_connectionNumber)
                return;
            --m_raftInFlight;
            bool isTimeout = e.getType() == kj::Exception::Type::OVERLOADED;
            if (isTimeout && m_connection && m_connection->isSilent(m_timer.now()))
                scheduleDisconnect("a consensus message was not acknowledged in time");
        }));
}

void ControlLink::taskFailed(kj::Exception&& exception)
{
    if (exception.getType() != kj::Exception::Type::DISCONNECTED)
        LOG4CXX_WARN(logger("rpc"), "task failed: " << exception.getDescription().cStr());
}

} // namespace celeryline
