// JobStore: snapshots.
#include "celeryline/base/Error.h"
#include "celeryline/jobs/JobSerialization.h"
#include "celeryline/jobs/JobStore.h"

#include <cereal/archives/portable_binary.hpp>

#include <algorithm>
#include <sstream>
#include <vector>

namespace celeryline {

std::string JobStore::takeSnapshot() const
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(m_configuration, m_waves, m_machineOrders, cereal::make_size_tag(m_jobs.size()));
    // Sorted, so that equal states produce equal bytes.
    std::vector<const JobState*> jobs;
    jobs.reserve(m_jobs.size());
    for (const auto& [id, job] : m_jobs)
        jobs.push_back(&job);
    std::sort(jobs.begin(), jobs.end(),
        [](const JobState* a, const JobState* b) { return a->spec.id < b->spec.id; });
    for (const auto* job : jobs)
        archive(*job);
    archive(silences(), m_recalledRuns, m_cancelledIds);
    detail::CustomerFields fields { m_configuration.customers, {} };
    for (const auto* job : jobs) {
        if (!job->spec.customer.empty())
            fields.jobs.emplace_back(job->spec.id, job->spec.customer);
    }
    auto cancelledBy = m_cancelledIds.customers();
    if (!isEmpty(fields) || !cancelledBy.empty())
        archive(fields);
    if (!cancelledBy.empty())
        archive(cancelledBy);
    return stream.str();
}

void JobStore::restoreSnapshot(const std::string& bytes)
{
    JobStore restored;
    std::map<RunnerIncarnation, Millis> silences;
    detail::CustomerFields fields;
    std::vector<std::pair<JobId, std::string>> cancelledBy;
    std::istringstream stream(bytes);
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        cereal::size_type count = 0;
        archive(restored.m_configuration, restored.m_waves, restored.m_machineOrders,
            cereal::make_size_tag(count));
        for (; count > 0; --count) {
            JobState job;
            archive(job);
            restored.m_jobs.emplace(job.spec.id, std::move(job));
        }
        // Snapshots of earlier versions lack some of these.
        auto isAtEnd = [&stream] { return stream.peek() == std::istringstream::traits_type::eof(); };
        if (!isAtEnd())
            archive(silences);
        if (!isAtEnd())
            archive(restored.m_recalledRuns);
        if (!isAtEnd())
            archive(restored.m_cancelledIds);
        if (!isAtEnd())
            archive(fields);
        if (!isAtEnd())
            archive(cancelledBy);
        const auto& cancelled = restored.m_cancelledIds;
        restored.m_cancelledIds
            = CancelledJobIds::restore(cancelled.ids(), cancelled.forgotten(), cancelledBy);
        restored.m_configuration.customers = std::move(fields.customers);
        for (auto& [id, customer] : fields.jobs)
            restored.m_jobs.at(id).spec.customer = std::move(customer);
    } catch (const std::exception& e) {
        throw Error(ErrorKind::Corrupt, std::string("a snapshot of the jobs can't be read: ") + e.what(),
            "run the same version on all instances");
    }
    restored.rebuildIndexes();
    for (const auto& [incarnation, leaseLeft] : silences)
        restored.applyCommand(NoteSilence { incarnation, leaseLeft }, {});
    *this = std::move(restored);
}

} // namespace celeryline
