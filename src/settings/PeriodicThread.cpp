#include "celeryline/settings/PeriodicThread.h"

#include "celeryline/settings/Logging.h"

#include <exception>

namespace celeryline {

PeriodicThread::PeriodicThread(std::string name, Millis pause, std::function<void()> task)
    : m_name(std::move(name))
    , m_pause(pause)
    , m_task(std::move(task))
{
}

PeriodicThread::~PeriodicThread() { stop(); }

void PeriodicThread::start()
{
    m_thread = std::thread([this] { run(); });
}

void PeriodicThread::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_stopCondition.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeriodicThread::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_isStopping) {
        lock.unlock();
        try {
            m_task();
        } catch (const std::exception& e) {
            LOG4CXX_WARN(logger(m_name), e.what());
        }
        lock.lock();
        m_stopCondition.wait_for(lock, m_pause.toChrono(), [this] { return m_isStopping; });
    }
}

} // namespace celeryline
