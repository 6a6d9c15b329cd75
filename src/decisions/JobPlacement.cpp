#include "celeryline/decisions/JobPlacement.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <queue>
#include <unordered_set>

namespace celeryline {

namespace {

/// @return the dominant share: the largest used fraction of the quota in any resource; 1e9 for a resource in
/// use without quota.
double dominantShare(const TeamShare& team)
{
    double share = 0;
    auto consider = [&share](std::int64_t used, std::int64_t limit) {
        if (used > 0) {
            share = std::max(share, limit > 0 ? static_cast<double>(used) / static_cast<double>(limit) : 1e9);
        }
    };
    consider(team.used.cpuMilli, team.limit.cpuMilli);
    consider(team.used.memoryMb, team.limit.memoryMb);
    consider(team.used.accelerators, team.limit.accelerators);
    return share;
}

bool isWithinQuota(const TeamShare& team, const Resources& size)
{
    return detail::fits(detail::add(team.used, size), team.limit);
}

bool isWithinUrgentQuota(const TeamShare& team, const Resources& size)
{
    return detail::fits(detail::add(team.urgentUsed, size), team.limit);
}

std::string describe(const Resources& size)
{
    return std::to_string(size.cpuMilli) + " mCPU, " + std::to_string(size.memoryMb) + " MB, "
        + std::to_string(size.accelerators) + " accelerators";
}

/// @return why a job can never run, or an empty string.
std::string whyImpossible(
    const Job& job, const CapacityIndex& capacity, const SizeEstimator& sizes, const Resources& size)
{
    if (!capacity.hasPool(job.pool)) {
        return "pool \"" + job.pool + "\" has no workers";
    }
    if (capacity.couldEverFit(job.pool, job.selector, size)) {
        return "";
    }
    if (!capacity.couldEverFit(job.pool, job.selector, {})) {
        return "no worker of pool \"" + job.pool + "\" matches \"" + toText(job.selector) + "\"";
    }
    return "no worker of pool \"" + job.pool + "\" could ever hold " + describe(size)
        + (sizes.isLearnt(job.team, job.kind) ? " (learnt from jobs of this kind)" : " (as declared)");
}

/// Sizes that fit no worker in this round. Free capacity only shrinks during a round, so no search is made
/// for a size that is at least as large in every resource.
class FailedSizes {
public:
    bool covers(const Job& job, const Resources& size) const
    {
        auto found = m_failed.find(job.pool);
        if (found == m_failed.end()) {
            return false;
        }
        return std::any_of(found->second.begin(), found->second.end(), [&](const Failure& failure) {
            return detail::fits(failure.size, size) && failure.selector == job.selector;
        });
    }

    void add(const Job& job, const Resources& size)
    {
        auto& failures = m_failed[job.pool];
        failures.erase(std::remove_if(failures.begin(), failures.end(),
                           [&](const Failure& failure) {
                               return detail::fits(size, failure.size) && failure.selector == job.selector;
                           }),
            failures.end());
        failures.push_back({ size, job.selector });
    }

private:
    struct Failure {
        Resources size;
        Selector selector;
    };

    std::map<std::string, std::vector<Failure>> m_failed;
};

/// State of one call of `placeJobs`.
class PlacementRound {
public:
    PlacementRound(
        CapacityIndex capacity, const SizeEstimator& sizes, TeamShares teams, std::uint64_t nextFence)
        : m_capacity(std::move(capacity))
        , m_sizes(sizes)
        , m_teams(std::move(teams))
        , m_nextFence(nextFence)
    {
    }

    void placeUrgentJobs(const JobBacklog& backlog);
    void placeBatch(const JobBacklog& backlog, bool borrowing);

    PlacementDecision decision;

private:
    void start(const JobStart& start, const std::string& team);
    bool tryBatchJob(const Job& job, bool borrowing);

    CapacityIndex m_capacity;
    const SizeEstimator& m_sizes;
    TeamShares m_teams;
    std::uint64_t m_nextFence;
    FailedSizes m_failed;
    std::unordered_set<std::string> m_decided; ///< Jobs started, refused or left waiting.
};

void PlacementRound::start(const JobStart& start, const std::string& team)
{
    invariant(m_decided.insert(start.job).second, "a job is placed only once in a round");
    auto& share = m_teams[team];
    bool within = start.held.urgent ? isWithinUrgentQuota(share, start.held.size)
                                    : isWithinQuota(share, start.held.size);
    invariant(start.held.borrowed || within, "a job beyond its team's quota is placed only as borrowed");
    m_capacity.place(start.worker, start.held);
    share.used = detail::add(share.used, start.held.size);
    if (start.held.urgent) {
        share.urgentUsed = detail::add(share.urgentUsed, start.held.size);
    }
    decision.starts.push_back(start);
    ++m_nextFence;
}

void PlacementRound::placeUrgentJobs(const JobBacklog& backlog)
{
    for (const auto& job : backlog.urgent()) {
        auto urgent = celeryline::placeUrgent(job, m_capacity, m_sizes, m_teams, m_nextFence);
        if (urgent.start) {
            start(*urgent.start, job.team);
            decision.instructions.insert(
                decision.instructions.end(), urgent.instructions.begin(), urgent.instructions.end());
        } else {
            m_decided.insert(job.id);
            (urgent.impossible ? decision.refusals : decision.waits).push_back({ job.id, urgent.reason });
        }
    }
}

/// @return whether the job started, which changes the share of its team.
bool PlacementRound::tryBatchJob(const Job& job, bool borrowing)
{
    if (m_decided.count(job.id) > 0) {
        return false;
    }
    auto size = m_sizes.estimate(job.team, job.kind, job.declared);
    bool within = isWithinQuota(m_teams[job.team], size);
    if (!within && !borrowing) {
        return false; // Tried again after all jobs within quota.
    }
    auto wait = [&] {
        m_decided.insert(job.id);
        decision.waits.push_back({ job.id,
            "no worker of pool \"" + job.pool + "\" has " + describe(size) + " free"
                + (within ? "" : " and the quota of team \"" + job.team + "\" is used") });
        return false;
    };
    if (m_failed.covers(job, size)) {
        return wait();
    }
    if (auto why = whyImpossible(job, m_capacity, m_sizes, size); !why.empty()) {
        m_decided.insert(job.id);
        decision.refusals.push_back({ job.id, why });
        return false;
    }
    auto key = job.team + "/" + job.kind;
    auto worker = m_capacity.find(job.pool, job.selector, size, key);
    if (!worker) {
        m_failed.add(job, size);
        return wait();
    }
    HeldJob held { job.id, m_nextFence, size, false, job.repeatable, !within, key };
    start({ job.id, *worker, held,
              within ? "within the quota of team " + job.team : "borrowed beyond the quota of " + job.team },
        job.team);
    return true;
}

void PlacementRound::placeBatch(const JobBacklog& backlog, bool borrowing)
{
    struct Turn {
        double share;
        const std::string* team;
        std::list<Job>::const_iterator next;
        std::list<Job>::const_iterator end;
    };
    auto comesLater = [](const Turn& a, const Turn& b) {
        return a.share != b.share ? a.share > b.share : *a.team > *b.team;
    };
    std::priority_queue<Turn, std::vector<Turn>, decltype(comesLater)> turns(comesLater);
    for (const auto& [team, jobs] : backlog.batch()) {
        turns.push({ dominantShare(m_teams[team]), &team, jobs.begin(), jobs.end() });
    }
    while (!turns.empty()) {
        auto turn = turns.top();
        turns.pop();
        bool started = false;
        while (!started && turn.next != turn.end) {
            started = tryBatchJob(*turn.next++, borrowing);
        }
        if (started) {
            turn.share = dominantShare(m_teams[*turn.team]);
            turns.push(turn);
        }
    }
}

} // namespace

UrgentDecision placeUrgent(const Job& job, const CapacityIndex& capacity, const SizeEstimator& sizes,
    const TeamShares& teams, std::uint64_t fence)
{
    UrgentDecision decision;
    auto size = sizes.estimate(job.team, job.kind, job.declared);
    decision.reason = whyImpossible(job, capacity, sizes, size);
    if (!decision.reason.empty()) {
        decision.impossible = true;
        return decision;
    }
    auto team = teams.find(job.team);
    bool within = team != teams.end() && isWithinUrgentQuota(team->second, size);
    HeldJob held { job.id, fence, size, true, job.repeatable, !within, job.team + "/" + job.kind };
    if (auto worker = capacity.find(job.pool, job.selector, size, held.spreadKey)) {
        decision.reason = "free capacity";
        decision.start = JobStart { job.id, *worker, held, decision.reason };
        return decision;
    }
    if (!within) {
        decision.reason = "no free worker, and urgent jobs of team \"" + job.team + "\" use its quota";
        return decision;
    }
    auto worker = capacity.findWithThrottling(job.pool, job.selector, size);
    if (!worker) {
        decision.reason = "urgent jobs or memory in use leave no room for " + describe(size);
        return decision;
    }
    auto missingCpuMilli = size.cpuMilli - capacity.freeOn(*worker).cpuMilli;
    auto candidates = capacity.jobsOn(*worker);
    std::stable_sort(candidates.begin(), candidates.end(), [](const HeldJob& a, const HeldJob& b) {
        return a.borrowed != b.borrowed ? a.borrowed : a.fence > b.fence;
    });
    for (const auto& candidate : candidates) {
        if (!candidate.urgent && missingCpuMilli > 0) {
            decision.instructions.push_back({ candidate.id, *worker, candidate.fence, JobAction::Throttle,
                "urgent job " + job.id + " needs its processor time" });
            missingCpuMilli -= candidate.size.cpuMilli;
        }
    }
    decision.reason = "batch jobs are throttled";
    decision.start = JobStart { job.id, *worker, held, decision.reason };
    return decision;
}

PlacementDecision placeJobs(const JobBacklog& backlog, CapacityIndex capacity, const SizeEstimator& sizes,
    TeamShares teams, std::uint64_t nextFence)
{
    PlacementRound round(std::move(capacity), sizes, std::move(teams), nextFence);
    round.placeUrgentJobs(backlog);
    round.placeBatch(backlog, false);
    round.placeBatch(backlog, true);
    return std::move(round.decision);
}

} // namespace celeryline
