/// @file
/// Division of the runner slots of a data centre among its entry instances.
#pragma once

#include "celeryline/calls/CreditShare.h"
#include "celeryline/calls/RouteTable.h"
#include "celeryline/calls/RunnerCredits.h"
#include "celeryline/registry/CreditRequest.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace celeryline {

/// Divides the slots of the runners among the live entry instances of a data centre and lends unused ones.
/// Thread-safe. Has no clock; callers pass the time.
///
/// A new instance requests a report from every live one: a CreditRequest without service, wanted or returned
/// slots. The response lists the slots that the peer still uses beyond its share; the new instance does not
/// use them until they are free.
class SlotCredits {
public:
    /// @param instance name of this instance.
    /// @param bootEpoch its boot epoch.
    /// @param settlingTime time within which all instances detect a change of the live set
    /// (leases.peerTimeoutMs).
    /// @param longestRequest maximum duration of a request; a loan that is not returned ends after it.
    /// @param now the current time.
    SlotCredits(std::string instance, std::uint64_t bootEpoch, Millis settlingTime, Millis longestRequest,
        Millis now);

    /// Sets the current routes. Requests in progress on a runner that is removed are still counted if it
    /// returns.
    /// @return the credits of the runners, in the order of the routes.
    std::vector<std::shared_ptr<RunnerCredits>> updateRoutes(const RouteTable& table);

    /// Recomputes the shares. Must be called periodically with the current live instances.
    void tick(Millis now, const std::vector<std::string>& live);

    /// @param now the current time.
    /// @return whether tick() was called within the settling time, so that the credits are valid. Must be
    /// checked again just before the first byte is sent, since the process may have been suspended in
    /// between.
    bool isFresh(Millis now) const { return now.count < m_freshUntil.load(std::memory_order_relaxed); }

    /// @param now the current time.
    /// @return the live instances whose report is needed: all after a membership change, and those whose last
    /// report listed slots.
    std::vector<std::string> reportsNeeded(Millis now) const;

    /// Applies the report of another instance.
    /// @param peer name of the other instance.
    /// @param report its response to makeRequest().
    /// @param sent when the request was sent.
    void onReport(const std::string& peer, const CreditGrant& report, Millis sent);

    /// @return whether this instance is new and owns no slots yet.
    bool isNew() const;

    /// Handles a request of another instance: accepts returned slots and lends unused ones, or reports.
    /// @param now the current time.
    /// @param request the request of another instance.
    /// @param runners runners whose slots may be lent, as indices into the routes.
    /// @return the lent slots, or the report.
    /// @throws Error of kind Unavailable if a report is requested by an instance that is not known to be live
    /// yet.
    CreditGrant onRequest(Millis now, const CreditRequest& request, const std::vector<std::size_t>& runners);

    /// Adds slots lent by another instance.
    /// @param lender name of the other instance.
    /// @param grant its response.
    /// @param sent when the request was sent, which is the start of the lease.
    /// @return the number of borrowed slots.
    std::uint32_t onGrant(const std::string& lender, const CreditGrant& grant, Millis sent);

    /// @param now the current time.
    /// @return loans to return, by lender.
    std::map<std::string, std::vector<SlotCredit>> takeReturns(Millis now);

    /// @return a request of this instance without service, wanted or returned slots.
    CreditRequest makeRequest() const;

private:
    using Key = std::pair<std::string, std::uint64_t>; ///< Runner and its boot epoch.

    void removeLostPeers(Millis now, const std::vector<std::string>& live);
    Millis reportedSince(Millis now, const std::vector<std::string>& live) const;
    void convertLoansToOwn(const std::string& lender);
    std::uint32_t allowance(const Key& key, std::uint32_t slots) const;
    CreditGrant report(const std::string& peer) const;

    struct Report {
        Millis sent; ///< When it was requested.
        std::map<Key, std::uint32_t> used; ///< Slots that the peer uses beyond its share.
    };
    struct Entry {
        std::shared_ptr<RunnerCredits> credits;
        std::uint32_t slots = 0; ///< 0 if it is not in the current routes.
    };

    std::string m_instance;
    std::uint64_t m_bootEpoch;
    Millis m_settlingTime;
    Millis m_longestRequest;
    mutable std::mutex m_mutex; ///< Not locked on the path of single requests.
    CreditShare m_share;
    std::map<Key, Entry> m_entries;
    std::vector<Key> m_routedKeys; ///< In the order of the routes.
    std::map<std::string, Millis> m_lastLive; ///< When each was last live.
    std::map<std::string, Report> m_reports;
    std::map<std::string, std::uint64_t> m_peerEpochs; ///< Latest boot epoch of each peer.
    std::atomic<std::int64_t> m_freshUntil { 0 };
};

} // namespace celeryline
