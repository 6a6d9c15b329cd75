#include "celeryline/control/ProcessLag.h"

namespace celeryline {

void ProcessLag::record(Millis timerDelay, Millis replicationDelay, Millis now)
{
    m_timer.record(now - timerDelay, now);
    m_replication.record(now - replicationDelay, now);
}

Millis ProcessLag::recent(Millis now) const { return std::max(timerDelay(now), replicationDelay(now)); }

bool ProcessLag::isOverloaded(Millis now) const
{
    return timerDelay(now) >= m_limits.timer || replicationDelay(now) >= m_limits.replication;
}

} // namespace celeryline
