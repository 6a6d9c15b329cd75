/// @file
/// Announces a stand-in upstream and carries out the instructions it receives.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline::kit {

/// Announces one upstream to any of several entry instances until it is stopped. Carries out `drain` and
/// `reboot` as the platform would: a reboot removes the upstream for some time and changes its boot epoch.
class Announcer {
public:
    /// @param announcement initial announcement; its boot epoch is replaced at each reboot.
    /// @param entries "IP:port" of the entry instances of the upstream's data centre.
    /// @param token bearer token; empty sends none.
    /// @param rebootMs duration of a reboot.
    /// @param inProgress returns the number of requests in progress; the upstream reboots only when it is 0.
    Announcer(Announcement announcement, std::vector<std::string> entries, std::string token, int rebootMs,
        std::function<int()> inProgress);
    ~Announcer();

    /// Stops announcing and deregisters the upstream. Requests in progress must have ended.
    void stop();

    /// Announces that the upstream is leaving.
    void startDraining() { m_isDraining = true; }

    /// @return number of completed reboots.
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
