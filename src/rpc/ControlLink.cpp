#include "celeryline/rpc/ControlLink.h"

#include "celeryline/base/SocketOptions.h"
#include "celeryline/rpc/ControlConversion.h"
#include "celeryline/rpc/PackedStream.h"
#include "celeryline/settings/Logging.h"

#include <Poco/Net/SocketAddress.h>
#include <capnp/rpc-twoparty.h>

#include <utility>

namespace celeryline {
namespace {

/// A machine that starts drops the opening packet, and the kernel repeats it only after a second.
constexpr kj::Duration connectTimeout = 300 * kj::MILLISECONDS;
constexpr kj::Duration connectPause = 100 * kj::MILLISECONDS;
/// Consensus messages that wait for a connection; an election needs the first ones.
constexpr std::size_t maxHeldRaft = 16;
/// A consensus message without confirmation for so long shows a silent connection.
constexpr kj::Duration raftTimeout = 1 * kj::SECONDS;
/// Consensus repeats what is lost, so a slow receiver must not make messages pile up.
constexpr std::size_t maxRaftInFlight = 64;

kj::Duration toKj(Millis time) { return time.count * kj::MILLISECONDS; }

} // namespace

/// An open connection. The members are destroyed in reverse order, the calls first.
struct ControlLink::Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream>&& opened)
        : stream(kj::mv(opened))
        , packed(*stream)
        , network(packed, capnp::rpc::twoparty::Side::CLIENT)
        , rpcSystem(capnp::makeRpcClient(network))
    {
        capnp::MallocMessageBuilder message;
        auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
        server.setSide(capnp::rpc::twoparty::Side::SERVER);
        control = rpcSystem.bootstrap(server).castAs<rpc::Control>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    detail::PackedStream packed;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpcSystem;
    rpc::Control::Client control = nullptr;
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
        m_connection->calls.cancel("the link is closed");
}

kj::Promise<void> ControlLink::connected()
{
    if (m_connection && !m_isDropScheduled)
        return kj::READY_NOW;
    if (m_opening == nullptr)
        open();
    KJ_IF_MAYBE (opening, m_opening)
        return opening->addBranch();
    return KJ_EXCEPTION(DISCONNECTED, "not connected");
}

void ControlLink::open()
{
    Poco::Net::SocketAddress socketAddress(m_address);
    auto address = m_network.getSockaddr(socketAddress.addr(), socketAddress.length());
    auto begin = m_timer.atTime(kj::max(m_retryAt, m_timer.now()));
    auto stream = begin.then([this, address = kj::mv(address)]() mutable {
        return m_timer.timeoutAfter(connectTimeout, address->connect()).attach(kj::mv(address));
    });
    m_opening = stream
                    .then([this](kj::Own<kj::AsyncIoStream>&& opened) { onConnected(kj::mv(opened)); },
                        [this](kj::Exception&& e) {
                            m_retryAt = m_timer.now() + connectPause;
                            if (!m_isFailureLogged) {
                                LOG4CXX_WARN(logger("rpc"),
                                    "can't connect to " << m_address << ": " << e.getDescription().cStr());
                            }
                            m_isFailureLogged = true; // Repeated failures say nothing new.
                            m_tasks.add(kj::evalLater([this] { m_opening = nullptr; }));
                            kj::throwFatalException(kj::mv(e));
                        })
                    .fork();
}

void ControlLink::onConnected(kj::Own<kj::AsyncIoStream>&& stream)
{
    detail::setSocketOptions(*stream);
    m_connection = std::make_unique<Connection>(kj::mv(stream));
    m_isDropScheduled = false;
    m_raftInFlight = 0;
    ++m_connectionNumber;
    if (m_isFailureLogged)
        LOG4CXX_INFO(logger("rpc"), "connected to " << m_address << " again");
    m_isFailureLogged = false;
    m_tasks.add(kj::evalLater([this] { m_opening = nullptr; }));
    auto number = m_connectionNumber;
    m_tasks.add(m_connection->calls.wrap(m_connection->network.onDisconnect()).then([this, number] {
        if (number == m_connectionNumber)
            scheduleDrop("closed by the other side");
    }));
}

void ControlLink::scheduleDrop(const std::string& reason)
{
    if (!m_connection || m_isDropScheduled)
        return;
    m_isDropScheduled = true;
    // The connection must not be destroyed by a continuation of one of its own promises.
    m_tasks.add(kj::evalLater([this, reason] {
        LOG4CXX_INFO(logger("rpc"), "dropped the connection to " << m_address << ": " << reason);
        m_connection->calls.cancel(kj::str("connection dropped: ", reason.c_str()));
        m_connection.reset();
        m_isDropScheduled = false;
    }));
}

template <typename Result, typename Call>
kj::Promise<CallResult<Result>> ControlLink::call(Millis timeout, Call&& start)
{
    auto sentOn = std::make_shared<std::uint64_t>(0); // Number of the connection; 0 while not sent.
    auto answered = connected().then([this, sentOn, start = kj::fwd<Call>(start)]() mutable {
        *sentOn = m_connectionNumber;
        return m_connection->calls.wrap(start(m_connection->control));
    });
    return m_timer.timeoutAfter(toKj(timeout), kj::mv(answered))
        .then(
            [](Result&& result) {
                CallResult<Result> answer;
                answer.hasResult = true;
                answer.result = kj::mv(result);
                return answer;
            },
            [this, sentOn](kj::Exception&& e) {
                bool isSilent = e.getType() == kj::Exception::Type::OVERLOADED && *sentOn != 0;
                if (isSilent && *sentOn == m_connectionNumber)
                    scheduleDrop("a call got no answer in time");
                CallResult<Result> answer;
                answer.failure = *sentOn != 0 ? CallFailure::Unknown : CallFailure::NotSent;
                return answer;
            });
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

void ControlLink::holdRaft(RaftMessage message)
{
    if (m_heldRaft.empty()) {
        m_tasks.add(connected().then(
            [this] {
                auto held = std::exchange(m_heldRaft, {});
                for (auto& each : held)
                    sendRaft(std::move(each));
            },
            [this](kj::Exception&&) { m_heldRaft.clear(); }));
    }
    if (m_heldRaft.size() < maxHeldRaft)
        m_heldRaft.push_back(std::move(message));
}

void ControlLink::sendRaft(RaftMessage message)
{
    if (!m_connection || m_isDropScheduled) {
        holdRaft(std::move(message));
        return;
    }
    if (m_raftInFlight >= maxRaftInFlight)
        return;
    ++m_raftInFlight;
    auto request = m_connection->control.raftRequest();
    detail::write(message, request.initMessage());
    auto number = m_connectionNumber;
    auto sent = m_timer.timeoutAfter(raftTimeout, m_connection->calls.wrap(request.send().ignoreResult()));
    m_tasks.add(sent.then(
        [this, number] {
            if (number == m_connectionNumber)
                --m_raftInFlight;
        },
        [this, number](kj::Exception&& e) {
            if (number != m_connectionNumber)
                return;
            --m_raftInFlight;
            if (e.getType() == kj::Exception::Type::OVERLOADED)
                scheduleDrop("a consensus message was not confirmed in time");
        }));
}

void ControlLink::taskFailed(kj::Exception&& exception)
{
    if (exception.getType() != kj::Exception::Type::DISCONNECTED)
        LOG4CXX_WARN(logger("rpc"), "task failed: " << exception.getDescription().cStr());
}

} // namespace celeryline
