#include "celeryline/control/DiskThread.h"

#include <utility>

namespace celeryline {

DiskThread::DiskThread()
    : m_thread([this] { runLoop(); })
{
    using StartedExecutor = kj::Maybe<kj::Own<const kj::Executor>>;
    m_executor = m_startedExecutor.when([](const StartedExecutor& started) { return started != nullptr; },
        [](StartedExecutor& started) { return kj::mv(KJ_ASSERT_NONNULL(started)); });
}

DiskThread::~DiskThread()
{
    m_executor->executeSync([this] { m_stop->fulfill(); });
}

void DiskThread::runLoop()
{
    kj::EventLoop loop;
    kj::WaitScope scope(loop);
    auto stop = kj::newPromiseAndFulfiller<void>();
    m_stop = kj::mv(stop.fulfiller);
    *m_startedExecutor.lockExclusive() = kj::getCurrentThreadExecutor().addRef();
    stop.promise.wait(scope);
}

kj::Promise<std::string> DiskThread::run(std::function<std::string()> work)
{
    return m_executor->executeAsync(std::move(work));
}

} // namespace celeryline
