#include "celeryline/rpc/RpcLoop.h"

#include "celeryline/settings/Logging.h"

#include <exception>
#include <future>

namespace celeryline::detail {

RpcLoop::RpcLoop()
    : m_thread([this] { threadMain(); })
{
    run([] {}); // Waits until the timer and the network are set.
}

RpcLoop::~RpcLoop() { stop(); }

void RpcLoop::post(std::function<void()> task)
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isStopping) {
            return;
        }
        m_tasks.push_back(std::move(task));
        wake = kj::mv(m_wake);
    }
    if (wake) {
        wake->fulfill();
    }
}

void RpcLoop::run(const std::function<void()>& task)
{
    auto done = std::make_shared<std::promise<void>>();
    auto future = done->get_future();
    post([done, &task] {
        try {
            task();
            done->set_value();
        } catch (...) {
            done->set_exception(std::current_exception());
        }
    });
    done.reset(); // If the loop has stopped, the promise is broken and get() throws.
    future.get();
}

void RpcLoop::stop()
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> wake;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
        wake = kj::mv(m_wake);
    }
    if (wake) {
        wake->fulfill();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void RpcLoop::threadMain()
{
    auto io = kj::setupAsyncIo();
    m_timer = &io.provider->getTimer();
    m_network = &io.provider->getNetwork();
    while (runTasks(io.waitScope)) { }
}

bool RpcLoop::runTasks(kj::WaitScope& waitScope)
{
    auto paf = kj::newPromiseAndCrossThreadFulfiller<void>();
    bool isIdle = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        isIdle = m_tasks.empty() && !m_isStopping;
        if (isIdle) {
            m_wake = kj::mv(paf.fulfiller);
        }
    }
    if (isIdle) {
        paf.promise.wait(waitScope);
    } else {
        // A continuous stream of tasks must not prevent the loop from handling sockets and timers.
        waitScope.poll();
    }
    std::vector<std::function<void()>> tasks;
    bool isStopping = false;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        tasks.swap(m_tasks);
        isStopping = m_isStopping;
    }
    for (const auto& task : tasks) {
        try {
            task();
        } catch (const kj::Exception& e) {
            LOG4CXX_ERROR(logger("rpc"), "task failed: " << e.getDescription().cStr());
        } catch (const std::exception& e) {
            LOG4CXX_ERROR(logger("rpc"), "task failed: " << e.what());
        }
    }
    return !isStopping;
}

} // namespace celeryline::detail
