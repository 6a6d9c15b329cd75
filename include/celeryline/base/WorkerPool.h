/// @file
/// A thread pool for blocking calls.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace celeryline {

/// A thread pool for blocking calls. Threads are started on demand up to a limit.
class WorkerPool {
public:
    /// @param maxThreads maximum number of threads.
    /// @param maxQueued maximum number of queued tasks.
    WorkerPool(std::size_t maxThreads, std::size_t maxQueued);
    ~WorkerPool();

    /// @param task runs on one of the threads; must not throw.
    /// @return false if the task was rejected because the queue is full or the pool has been stopped.
    bool submit(std::function<void()> task);

    /// Runs the queued tasks and joins the threads.
    void stop();

private:
    void runWorker();

    const std::size_t m_maxThreads;
    const std::size_t m_maxQueued;
    std::mutex m_mutex;
    std::condition_variable m_taskAvailable;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idleThreads = 0;
    bool m_isStopping = false;
};

} // namespace celeryline
