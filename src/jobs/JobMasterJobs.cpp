// JobMaster: periodic work on jobs.
#include "celeryline/jobs/JobMaster.h"

#include <vector>

namespace celeryline {

void JobMaster::openDueOccurrences()
{
    std::vector<JobCommand> commands;
    auto wall = m_clock().wall;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        for (auto next = job.opened; next < job.spec.occurrences; ++next) {
            if (wall < Millis { job.spec.firstDue.count + job.spec.period.count * next })
                break;
            commands.push_back(OpenOccurrence { id, next });
        }
    }
    if (!commands.empty())
        m_log.propose(commands, [this](bool) { m_mustPlan = true; });
}

void JobMaster::removeOldJobs()
{
    std::vector<JobCommand> commands;
    auto wall = m_clock().wall;
    for (const auto& [endedAt, id] : m_store.idleEndedJobs()) {
        if (wall < endedAt + m_options.endedJobRetention)
            break;
        commands.push_back(RemoveJob { id });
    }
    if (!commands.empty())
        m_log.propose(commands, [](bool) {});
}

void JobMaster::sampleCancelledIds()
{
    m_cancelledIdHistory.sample(m_store.cancelledIds().newest(), m_clock().steady);
}

void JobMaster::forgetCancelledIds()
{
    auto upTo = m_cancelledIdHistory.oldValue();
    if (upTo > m_store.cancelledIds().forgotten())
        m_log.propose({ ForgetCancelledIds { upTo } }, [](bool) {});
}

} // namespace celeryline
