/// @file
/// A thread that runs a task periodically.
#pragma once

#include "celeryline/base/Millis.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace celeryline {

/// A thread that runs a task repeatedly with a pause in between. Exceptions thrown by the task are logged and
/// do not end the thread.
///
/// Example: `PeriodicThread thread("observer", Millis { 100 }, [&] { observer.step(clock.now()); });`
class PeriodicThread {
public:
    /// @param name name of the logger for exceptions.
    /// @param pause time between two runs.
    /// @param task the task to run.
    PeriodicThread(std::string name, Millis pause, std::function<void()> task);
    ~PeriodicThread();

    /// Starts the thread.
    void start();

    /// Stops the thread after the current run, if any, completes.
    void stop();

private:
    void run();

    std::string m_name;
    Millis m_pause;
    std::function<void()> m_task;
    std::mutex m_mutex;
    std::condition_variable m_stopCondition;
    bool m_isStopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};

} // namespace celeryline
