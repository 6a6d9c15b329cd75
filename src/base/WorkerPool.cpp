#include "celeryline/base/WorkerPool.h"

namespace celeryline {

WorkerPool::WorkerPool(std::size_t maxThreads, std::size_t maxQueued)
    : m_maxThreads(maxThreads)
    , m_maxQueued(maxQueued)
{
}

WorkerPool::~WorkerPool() { stop(); }

bool WorkerPool::submit(std::function<void()> task)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_isStopping || m_tasks.size() >= m_maxQueued) {
            return false;
        }
        m_tasks.push_back(std::move(task));
        if (m_tasks.size() > m_idleThreads && m_threads.size() < m_maxThreads) {
            m_threads.emplace_back([this] { runWorker(); });
        }
    }
    m_taskAvailable.notify_one();
    return true;
}

void WorkerPool::stop()
{
    std::vector<std::thread> threads;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
        threads.swap(m_threads);
    }
    m_taskAvailable.notify_all();
    for (auto& thread : threads) {
        thread.join();
    }
}

void WorkerPool::runWorker()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        ++m_idleThreads;
        m_taskAvailable.wait(lock, [this] { return !m_tasks.empty() || m_isStopping; });
        --m_idleThreads;
        if (m_tasks.empty()) {
            return;
        }
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        task = nullptr; // Destroys the captures without holding the lock.
        lock.lock();
    }
}

} // namespace celeryline
