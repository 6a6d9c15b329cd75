#include "celeryline/rpc/PeerService.h"

#include "celeryline/base/Error.h"
#include "celeryline/http/RoleGuard.h"
#include "celeryline/rpc/RpcConversion.h"
#include "celeryline/settings/Logging.h"

#include <exception>
#include <memory>

namespace celeryline::detail {

namespace {

/// First segment of a response. Without a hint, GCC 12 with sanitizers takes KJ's empty Maybe for
/// uninitialised.
constexpr capnp::MessageSize sizeHint { 128, 1 };

kj::Exception failure(const char* what)
{
    return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(what) };
}

/// Calls a handler method that returns at once.
template <typename Call> kj::Promise<void> callNow(Call&& call)
{
    try {
        call();
        return kj::READY_NOW;
    } catch (const Error& e) {
        return toKjException(e);
    } catch (const std::exception& e) {
        return failure(e.what());
    }
}

/// Calls a handler method that may block on a worker thread.
/// @param call stores its result itself.
kj::Promise<void> callOnWorker(WorkerPool& workers, const std::function<void()>& call)
{
    auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
    using Fulfiller = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;
    auto fulfiller = std::make_shared<Fulfiller>(kj::mv(paf.fulfiller));
    bool isQueued = workers.submit([fulfiller, call] {
        try {
            call();
            (*fulfiller)->fulfill();
        } catch (const Error& e) {
            (*fulfiller)->reject(toKjException(e));
        } catch (const std::exception& e) {
            (*fulfiller)->reject(failure(e.what()));
        }
    });
    if (!isQueued) {
        return toKjException(
            Error(ErrorKind::Unavailable, "the instance has too many calls in progress or shuts down",
                "try again or call another instance"));
    }
    return kj::mv(paf.promise);
}

class PeerService final : public rpc::Peer::Server {
public:
    PeerService(PeerHandler& handler, PeerWorkers& workers)
        : m_handler(handler)
        , m_workers(workers)
    {
    }

    kj::Promise<void> raft(RaftContext context) override
    {
        return callNow([&] { m_handler.onRaft(read(context.getParams().getMessage())); });
    }

    kj::Promise<void> delta(DeltaContext context) override
    {
        return callNow([&] { m_handler.onDelta(read(context.getParams().getDelta())); });
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        return callNow([&] { m_handler.onHeartbeat(read(context.getParams().getHeartbeat())); });
    }

    kj::Promise<void> credits(CreditsContext context) override
    {
        return callNow([&] {
            auto grant = m_handler.onCreditRequest(read(context.getParams().getRequest()));
            write(grant, context.getResults(sizeHint).initGrant());
        });
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        Command command;
        try {
            command = read(context.getParams().getCommand());
        } catch (const Error& e) {
            return toKjException(e);
        }
        auto result = std::make_shared<CommandResult>();
        auto& handler = m_handler;
        return callOnWorker(m_workers.submits, [&handler, command, result] {
            *result = handler.onSubmit(command);
        }).then([context, result]() mutable { write(*result, context.getResults(sizeHint).initResult()); });
    }

    kj::Promise<void> fullCopy(FullCopyContext context) override
    {
        auto copy = std::make_shared<RegistryDelta>();
        auto& handler = m_handler;
        return callOnWorker(m_workers.others, [&handler, copy] {
            *copy = handler.onFullCopy();
        }).then([context, copy]() mutable { write(*copy, context.getResults(sizeHint).initCopy()); });
    }

    kj::Promise<void> hello(HelloContext context) override
    {
        auto own = std::make_shared<Hello>();
        auto hello = read(context.getParams().getHello());
        auto& handler = m_handler;
        return callOnWorker(m_workers.others, [&handler, hello, own] {
            *own = handler.onHello(hello);
        }).then([context, own]() mutable { write(*own, context.getResults(sizeHint).initHello()); });
    }

private:
    PeerHandler& m_handler;
    PeerWorkers& m_workers;
};

} // namespace

GateService::GateService(
    const std::string& token, PeerHandler& handler, PeerWorkers& workers, std::function<void()> onOpened)
    : m_token(token)
    , m_handler(handler)
    , m_workers(workers)
    , m_onOpened(std::move(onOpened))
{
}

kj::Promise<void> GateService::open(OpenContext context)
{
    auto params = context.getParams();
    auto presented = params.getToken();
    std::string name = params.getName().cStr();
    if (!m_token.empty() && !tokensAreEqual(m_token, { presented.begin(), presented.size() })) {
        LOG4CXX_WARN(logger("rpc"), "refused a connection of \"" << name << "\": the peer token is wrong");
        return toKjException(Error(ErrorKind::Refused, "the peer token is missing or wrong",
            "give all instances the same security.peerTokenFile"));
    }
    context.getResults(sizeHint).setPeer(kj::heap<PeerService>(m_handler, m_workers));
    m_onOpened();
    LOG4CXX_DEBUG(logger("rpc"), "\"" << name << "\" has connected");
    return kj::READY_NOW;
}

} // namespace celeryline::detail
