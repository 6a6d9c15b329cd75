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
        if (m_tasks.size() > m_idle && m_threads.size() < m_maxThreads) {
            m_threads.emplace_back([this] { work(); });
        }
    }
    m_wake.notify_one();
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
    m_wake.notify_all();
    for (auto& thread : threads) {
        thread.join();
    }
}

void WorkerPool::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        ++m_idle;
        m_wake.wait(lock, [this] { return !m_tasks.empty() || m_isStopping; });
        --m_idle;
        if (m_tasks.empty()) {
            return;
        }
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        task = nullptr; // Its captures are destroyed without the lock.
        lock.lock();
    }
}

} // namespace celeryline
