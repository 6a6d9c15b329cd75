#include "celeryline/rpc/Acceptor.h"

#include "celeryline/settings/Logging.h"

namespace celeryline::detail {

namespace {

constexpr kj::Duration retryDelay = 100 * kj::MILLISECONDS;

} // namespace

Acceptor::Acceptor(kj::Timer& timer, kj::Own<kj::ConnectionReceiver> listener, SetOptions setOptions)
    : m_timer(timer)
    , m_listener(kj::mv(listener))
    , m_setOptions(setOptions)
{
}

kj::Promise<kj::Own<kj::AsyncIoStream>> Acceptor::accept()
{
    // A connection that waits already is accepted immediately, so the listener can also throw.
    auto accepted = kj::evalNow([this] { return m_listener->accept(); });
    return accepted.then(
        [this](kj::Own<kj::AsyncIoStream>&& stream) -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
            auto failure = kj::runCatchingExceptions([&] { m_setOptions(*stream); });
            KJ_IF_MAYBE (exception, failure)
                return acceptLater(*exception);
            m_isFailureLogged = false;
            return kj::mv(stream);
        },
        [this](kj::Exception&& exception) { return acceptLater(exception); });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> Acceptor::acceptLater(const kj::Exception& failure)
{
    if (!m_isFailureLogged)
        LOG4CXX_WARN(logger("rpc"), "can't accept a connection: " << failure.getDescription().cStr());
    m_isFailureLogged = true; // Log only the first of consecutive failures.
    return m_timer.afterDelay(retryDelay).then([this] { return accept(); });
}

} // namespace celeryline::detail
