/// @file
/// Thread with a KJ event loop.
#pragma once

#include <kj/async-io.h>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline::detail {

/// A thread that runs a KJ event loop. Other threads can post tasks to it without blocking.
class RpcLoop {
public:
    RpcLoop();
    ~RpcLoop();
    RpcLoop(const RpcLoop&) = delete;
    RpcLoop& operator=(const RpcLoop&) = delete;

    /// Queues a task for the loop's thread without blocking. Ignored after stop().
    /// @param task task to run; exceptions are logged.
    void post(std::function<void()> task);

    /// Runs a task on the loop's thread and waits until it completes.
    /// @param task task to run; exceptions are rethrown to the caller.
    void run(const std::function<void()>& task);

    /// Stops the loop after the queued tasks have run. A task must have destroyed all promises created on the
    /// loop.
    void stop();

    /// @return timer of the event loop; only for the loop's thread.
    kj::Timer& timer() { return *m_timer; }

    /// @return network of the event loop; only for the loop's thread.
    kj::Network& network() { return *m_network; }

private:
    void threadMain();
    bool runTasks(kj::WaitScope& waitScope);

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake; ///< Null while the loop isn't waiting.
    bool m_isStopping = false;
    kj::Timer* m_timer = nullptr;
    kj::Network* m_network = nullptr;
    std::thread m_thread;
};

inline kj::Duration toKj(std::chrono::milliseconds time) { return time.count() * kj::MILLISECONDS; }

} // namespace celeryline::detail
