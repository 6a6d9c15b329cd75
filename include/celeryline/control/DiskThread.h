/// @file
/// A thread for blocking disk I/O.
#pragma once

#include <kj/async.h>
#include <kj/mutex.h>
#include <kj/thread.h>

#include <functional>
#include <string>

namespace celeryline {

/// Runs blocking disk I/O on a separate thread, so that the event loop isn't blocked.
///
/// Example: `disk.run([&] { return log.persist(); }).then([&](std::string error) { log.complete(error); });`
class DiskThread {
public:
    DiskThread();
    ~DiskThread();
    DiskThread(const DiskThread&) = delete;
    DiskThread& operator=(const DiskThread&) = delete;

    /// Runs a function on the thread.
    /// @param work the function; an exception that it throws rejects the promise.
    /// @return its result, on the caller's event loop. Destroying the promise blocks until the function
    /// returns.
    kj::Promise<std::string> run(std::function<std::string()> work);

private:
    void runLoop();

    kj::MutexGuarded<kj::Maybe<kj::Own<const kj::Executor>>> m_startedExecutor;
    kj::Own<kj::PromiseFulfiller<void>> m_stop; ///< Stops the thread's event loop.
    kj::Own<const kj::Executor> m_executor;
    kj::Thread m_thread;
};

} // namespace celeryline
