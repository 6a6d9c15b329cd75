/// @file
/// A thread that repeats one task.
#pragma once

#include "celeryline/base/Millis.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace celeryline {

/// A thread that repeats one task with a pause in between. An exception of the task is logged and the task
/// is repeated all the same.
///
/// Example: `PeriodicThread observing("observer", Millis { 100 }, [&] { observer.step(clock.now()); });`
class PeriodicThread {
public:
    /// @param name for log lines.
    /// @param pause between two runs.
    /// @param task what to repeat.
    PeriodicThread(std::string name, Millis pause, std::function<void()> task);
    ~PeriodicThread();

    /// Begins to repeat the task.
    void start();

    /// Waits for a run in progress and ends.
    void stop();

private:
    void run();

    std::string m_name;
    Millis m_pause;
    std::function<void()> m_task;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false; ///< Guarded by m_mutex.
    std::thread m_thread;
};

} // namespace celeryline
