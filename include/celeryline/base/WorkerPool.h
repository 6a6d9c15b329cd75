/// @file
/// Threads for calls that may block.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace celeryline {

/// Threads for calls that may block; started on demand up to a limit.
class WorkerPool {
public:
    /// @param maxThreads most threads.
    /// @param maxQueued most tasks that wait for a thread.
    WorkerPool(std::size_t maxThreads, std::size_t maxQueued);
    ~WorkerPool();

    /// @param task runs on one of the threads; must not throw.
    /// @return false if the queue is full or the pool has been stopped; the task will not run then.
    bool submit(std::function<void()> task);

    /// Runs the queued tasks and ends the threads.
    void stop();

private:
    void work();

    const std::size_t m_maxThreads;
    const std::size_t m_maxQueued;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_isStopping = false;
};

} // namespace celeryline
