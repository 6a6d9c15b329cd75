/// @file
/// The slots of all runners of a data centre that this instance may use.
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

/// Divides the slots of the runners between the live entry instances of a data centre and lends unused ones.
/// Thread-safe. Contains no clock.
///
/// A new instance asks every live one for a report: a CreditRequest without service, wish or returns. The
/// answer lists the slots that the other one still uses beyond its share; the new instance leaves them alone
/// until they are free.
class SlotCredits {
public:
    /// @param instance this instance.
    /// @param bootEpoch its boot epoch.
    /// @param settle time in which all instances notice a change of the live set (leases.peerTimeoutMs).
    /// @param longestRequest longest time a request can last; a loan that was not returned ends after it.
    /// @param now the time.
    SlotCredits(std::string instance, std::uint64_t bootEpoch, Millis settlingTime, Millis longestRequest,
        Millis now);

    /// Adopts new routes and returns the credits of their runners in the same order. Requests in progress on
    /// runners that are gone are still counted when these come back.
    std::vector<std::shared_ptr<RunnerCredits>> updateRoutes(const RouteTable& table);

    /// Recomputes the shares. To be called often, with the newest live instances.
    void tick(Millis now, const std::vector<std::string>& live);

    /// @param now the time.
    /// @return whether tick() was called so lately that credits may be used. To be checked again directly
    /// before the first byte is sent, since the process may have been suspended in between.
    bool isFresh(Millis now) const { return now.count < m_freshUntil.load(std::memory_order_relaxed); }

    /// @return live instances whose report is needed: this instance is new, or an earlier report listed
    /// slots.
    /// @param now the time.
    std::vector<std::string> reportsNeeded(Millis now) const;

    /// Adopts the report of another instance.
    /// @param peer the other instance.
    /// @param report its answer to makeRequest().
    /// @param sent when the request was sent.
    void onReport(const std::string& peer, const CreditGrant& report, Millis sent);

    /// @return whether this instance owns nothing yet.
    bool isNew() const;

    /// Lends unused slots and takes back returned ones, or reports.
    /// @param now the time.
    /// @param request the request of another instance.
    /// @param runners runners whose slots may be lent, as indices into the routes.
    /// @return what was lent.
    /// @throws Error of kind Unavailable for a report to an instance that was not noticed as live yet.
    CreditGrant onRequest(Millis now, const CreditRequest& request, const std::vector<std::size_t>& runners);

    /// Adds what another instance lent.
    /// @param lender the other instance.
    /// @param grant its answer.
    /// @param sent when the request was sent; the lease counts from then.
    /// @return the number of borrowed slots.
    std::uint32_t onGrant(const std::string& lender, const CreditGrant& grant, Millis sent);

    /// @param now the time.
    /// @return loans to give back, by lender.
    std::map<std::string, std::vector<SlotCredit>> takeReturns(Millis now);

    /// @return a request without content from this instance.
    CreditRequest makeRequest() const;

private:
    using Key = std::pair<std::string, std::uint64_t>; ///< Runner and its boot epoch.

    void removeLostPeers(Millis now, const std::vector<std::string>& live);
    Millis reportedSince(Millis now, const std::vector<std::string>& live) const;
    void convertLoansToOwn(const std::string& lender);
    std::uint32_t allowance(const Key& key, std::uint32_t slots) const;
    CreditGrant report(const std::string& peer) const;

    struct Report {
        Millis sent; ///< When it was asked for.
        std::map<Key, std::uint32_t> used; ///< Slots that the peer uses beyond its share.
    };
    struct Entry {
        std::shared_ptr<RunnerCredits> credits;
        std::uint32_t slots = 0; ///< 0 if no route leads to it.
    };

    std::string m_instance;
    std::uint64_t m_bootEpoch;
    Millis m_settlingTime;
    Millis m_longestRequest;
    mutable std::mutex m_mutex; ///< Not taken for single requests.
    CreditShare m_share;
    std::map<Key, Entry> m_entries;
    std::vector<Key> m_routedKeys; ///< In the order of the routes.
    std::map<std::string, Millis> m_peers; ///< When each was last seen live.
    std::map<std::string, Report> m_reports;
    std::map<std::string, std::uint64_t> m_peerEpochs; ///< Boot epochs that peers have told.
    std::atomic<std::int64_t> m_freshUntil { 0 };
};

} // namespace celeryline
