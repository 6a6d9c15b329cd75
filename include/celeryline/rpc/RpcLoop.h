/// @file
/// A thread that runs a KJ event loop.
#pragma once

#include <kj/async-io.h>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline::detail {

/// A thread that runs a KJ event loop. Other threads hand tasks to it without waiting.
class RpcLoop {
public:
    RpcLoop();
    ~RpcLoop();
    RpcLoop(const RpcLoop&) = delete;
    RpcLoop& operator=(const RpcLoop&) = delete;

    /// Queues a task for the loop's thread; never blocks on the loop. Ignored after stop().
    /// @param task runs on the loop's thread; an exception is logged.
    void post(std::function<void()> task);

    /// Runs a task on the loop's thread and waits for its end.
    /// @param task may throw; the exception is passed on.
    void run(const std::function<void()>& task);

    /// Ends the loop after the queued tasks. Promises made on the loop must have been destroyed by a task.
    void stop();

    /// @return timer of the loop; only for the loop's thread.
    kj::Timer& timer() { return *m_timer; }

    /// @return network of the loop; only for the loop's thread.
    kj::Network& network() { return *m_network; }

private:
    void threadMain();
    bool runTasks(kj::WaitScope& waitScope);

    std::mutex m_mutex;
    std::vector<std::function<void()>> m_tasks;
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake; ///< Null while the loop is known to be awake.
    bool m_isStopping = false;
    kj::Timer* m_timer = nullptr;
    kj::Network* m_network = nullptr;
    std::thread m_thread;
};

/// @param time a time span.
/// @return it as KJ's type.
inline kj::Duration toKj(std::chrono::milliseconds time) { return time.count() * kj::MILLISECONDS; }

} // namespace celeryline::detail
