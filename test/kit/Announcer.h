/// @file
/// Announces a stand-in upstream and follows the instructions it is given.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline::kit {

/// Announces one upstream to any of several entry instances until it is stopped. Follows `drain` and `reboot`
/// as the platform would: a reboot takes the upstream away for a while and gives it a new boot epoch.
class Announcer {
public:
    /// @param announcement what to announce; its boot epoch is replaced at each reboot.
    /// @param entries "IP:port" of the entry instances of the upstream's data centre.
    /// @param token bearer token; empty sends none.
    /// @param rebootMs how long a reboot takes.
    /// @param inProgress gives the work in progress; an upstream reboots only when it is zero.
    Announcer(Announcement announcement, std::vector<std::string> entries, std::string token, int rebootMs,
        std::function<int()> inProgress);
    ~Announcer();

    /// Leaves and ends. Work in progress must have ended.
    void stop();

    /// Announces that the upstream is leaving.
    void startDraining() { m_isDraining = true; }

    /// @return finished reboots.
    int reboots() const { return m_reboots; }

private:
    void run();
    std::string announce();
    void deregister();
    std::string send(const std::string& method, const std::string& path, const std::string& body);
    void applyInstruction(const std::string& instruction);
    void sleepFor(int ms) const;

    Announcement m_announcement;
    std::vector<std::string> m_entries;
    std::string m_token;
    int m_rebootMs;
    std::function<int()> m_inProgress;
    std::size_t m_nextEntry = 0;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_isDraining { false };
    std::atomic<bool> m_isInstructedToDrain { false };
    std::atomic<int> m_reboots { 0 };
    std::thread m_thread;
};

} // namespace celeryline::kit
