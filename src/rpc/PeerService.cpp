#include "celeryline/rpc/PeerService.h"

#include "celeryline/base/Error.h"
#include "celeryline/http/RoleGuard.h"
#include "celeryline/rpc/RpcConversion.h"
#include "celeryline/settings/Logging.h"

#include <exception>
#include <memory>

namespace celeryline::detail {

namespace {

/// Size of a response's first segment. Without a hint, GCC 12 with sanitizers reports KJ's empty Maybe as
/// uninitialised.
constexpr capnp::MessageSize sizeHint { 128, 1 };

kj::Exception failure(const char* what)
{
    return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(what) };
}

/// Calls a non-blocking handler method on the RPC thread.
template <typename Call> kj::Promise<void> callInline(Call&& call)
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

/// Runs a handler method that may block on a worker thread.
/// @param call calls the method and stores its result.
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
            Error(ErrorKind::Unavailable, "the instance has too many calls in progress or is shutting down",
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
        return callInline([&] { m_handler.onRaft(read(context.getParams().getMessage())); });
    }

    kj::Promise<void> delta(DeltaContext context) override
    {
        return callInline([&] { m_handler.onDelta(read(context.getParams().getDelta())); });
    }

    kj::Promise<void> heartbeat(HeartbeatContext context) override
    {
        return callInline([&] { m_handler.onHeartbeat(read(context.getParams().getHeartbeat())); });
    }

    kj::Promise<void> credits(CreditsContext context) override
    {
        return callInline([&] {
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

GateService::GateService(const std::string& token, PeerHandler& handler, PeerWorkers& workers,
    std::function<void()> onAuthenticated)
    : m_token(token)
    , m_handler(handler)
    , m_workers(workers)
    , m_onAuthenticated(std::move(onAuthenticated))
{
}

kj::Promise<void> GateService::open(OpenContext context)
{
    auto params = context.getParams();
    auto presented = params.getToken();
    std::string name = params.getName().cStr();
    if (!m_token.empty() && !tokensAreEqual(m_token, { presented.begin(), presented.size() })) {
        LOG4CXX_WARN(logger("rpc"),
            "rejected a connection from \"" << name << "\": the peer token is missing or wrong");
        return toKjException(Error(ErrorKind::Refused, "the peer token is missing or wrong",
            "give all instances the same security.peerTokenFile"));
    }
    context.getResults(sizeHint).setPeer(kj::heap<PeerService>(m_handler, m_workers));
    m_onAuthenticated();
    LOG4CXX_DEBUG(logger("rpc"), "accepted a connection from \"" << name << "\"");
    return kj::READY_NOW;
}

} // namespace celeryline::detail
