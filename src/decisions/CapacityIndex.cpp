#include "celeryline/decisions/CapacityIndex.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <tuple>

namespace celeryline {

namespace {

Resources larger(const Resources& a, const Resources& b)
{
    return { std::max(a.cpuMilli, b.cpuMilli), std::max(a.memoryMb, b.memoryMb),
        std::max(a.accelerators, b.accelerators) };
}

Resources freeOf(const Resources& capacity, const Resources& used)
{
    return { std::max<std::int64_t>(0, capacity.cpuMilli - used.cpuMilli),
        std::max<std::int64_t>(0, capacity.memoryMb - used.memoryMb),
        std::max<std::int64_t>(0, capacity.accelerators - used.accelerators) };
}

bool selects(const Selector& selector, const WorkerCapacity& worker)
{
    return selector.requirements.empty() || matches(selector, worker.labels);
}

} // namespace

std::size_t CapacityIndex::entryOf(const std::string& worker) const
{
    auto found = m_entryByName.find(worker);
    if (found == m_entryByName.end()) {
        throw Error(ErrorKind::NotFound, "worker \"" + worker + "\" is not known to placement",
            "list workers with: celeryline get workers");
    }
    return found->second;
}

std::size_t CapacityIndex::rackOf(const WorkerCapacity& worker)
{
    GroupKey group { worker.pool, worker.capacity.accelerators > 0, worker.dataCentre };
    auto [found, isNew] = m_rackByName.try_emplace({ group, worker.rack }, m_racks.size());
    if (isNew) {
        m_racks.push_back({ group, {}, 0 });
        m_groups[group].insert({ 0, found->second });
    }
    return found->second;
}

void CapacityIndex::removeFromRack(std::size_t index)
{
    auto& entry = m_entries[index];
    if (!entry.isPresent) {
        return;
    }
    auto& rack = m_racks[entry.rack];
    auto& group = m_groups[rack.group];
    group.erase({ rack.freeCpu, entry.rack });
    rack.workers.erase(std::remove(rack.workers.begin(), rack.workers.end(), index), rack.workers.end());
    rack.freeCpu -= entry.free.cpuMilli;
    group.insert({ rack.freeCpu, entry.rack });
    auto& members = m_pools[entry.worker->pool];
    members.erase(std::remove(members.begin(), members.end(), index), members.end());
    entry.isPresent = false;
    entry.free = {};
}

void CapacityIndex::updateFree(std::size_t index)
{
    auto& entry = m_entries[index];
    Resources held;
    Resources reportedUse = entry.reported;
    entry.batchCpu = 0;
    for (const auto& job : entry.jobs) {
        held = detail::add(held, job.size);
        if (job.fence > entry.throughFence) {
            reportedUse = detail::add(reportedUse, job.size);
        }
        entry.batchCpu += job.urgent ? 0 : job.size.cpuMilli;
    }
    // A job that has just started doesn't use its full size yet, and a report may be older than the last
    // placement, so the larger of reserved and reported resources counts as used.
    auto used = larger(held, reportedUse);
    auto free
        = entry.isPresent && entry.worker->accepting ? freeOf(entry.worker->capacity, used) : Resources {};
    if (entry.isPresent && free.cpuMilli != entry.free.cpuMilli) {
        auto& rack = m_racks[entry.rack];
        auto& group = m_groups[rack.group];
        group.erase({ rack.freeCpu, entry.rack });
        rack.freeCpu += free.cpuMilli - entry.free.cpuMilli;
        group.insert({ rack.freeCpu, entry.rack });
    }
    entry.free = free;
}

void CapacityIndex::setWorker(const WorkerCapacity& worker)
{
    auto [found, isNew] = m_entryByName.try_emplace(worker.name, m_entries.size());
    auto index = found->second;
    if (isNew) {
        m_entries.emplace_back();
    }
    removeFromRack(index);
    auto& entry = m_entries[index];
    entry.worker = std::make_shared<const WorkerCapacity>(worker);
    entry.rack = rackOf(worker);
    entry.isPresent = true;
    m_racks[entry.rack].workers.push_back(index);
    m_pools[worker.pool].push_back(index);
    updateFree(index);
}

void CapacityIndex::removeWorker(const std::string& worker)
{
    auto index = entryOf(worker);
    removeFromRack(index);
    for (const auto& job : m_entries[index].jobs) {
        --m_jobCounts[job.spreadKey][m_entries[index].worker->dataCentre];
    }
    m_entries[index].jobs.clear();
    m_entries[index].reported = {};
}

void CapacityIndex::place(const std::string& worker, const HeldJob& job)
{
    auto index = entryOf(worker);
    auto& entry = m_entries[index];
    invariant(entry.isPresent, "a job is placed only on a worker that exists");
    for (const auto& held : entry.jobs) {
        invariant(held.id != job.id, "a worker holds a job only once");
    }
    invariant(job.fence > entry.throughFence, "a placement has a newer fence than its worker has reported");
    entry.jobs.push_back(job);
    ++m_jobCounts[job.spreadKey][entry.worker->dataCentre];
    updateFree(index);
}

void CapacityIndex::end(const std::string& worker, const std::string& job)
{
    auto index = entryOf(worker);
    auto& entry = m_entries[index];
    auto found = std::find_if(
        entry.jobs.begin(), entry.jobs.end(), [&](const HeldJob& held) { return held.id == job; });
    if (found != entry.jobs.end()) {
        --m_jobCounts[found->spreadKey][entry.worker->dataCentre];
        entry.jobs.erase(found);
        updateFree(index);
    }
}

void CapacityIndex::report(const std::string& worker, const Resources& usage, std::uint64_t throughFence)
{
    auto index = entryOf(worker);
    auto& entry = m_entries[index];
    if (throughFence < entry.throughFence) {
        return; // Reports may arrive out of order.
    }
    entry.reported = usage;
    entry.throughFence = throughFence;
    updateFree(index);
}

std::optional<std::size_t> CapacityIndex::findInGroup(
    const std::set<RackKey>& racks, const Selector& selector, const Resources& size) const
{
    for (auto key = racks.rbegin(); key != racks.rend() && key->first >= size.cpuMilli; ++key) {
        std::optional<std::size_t> best;
        for (auto index : m_racks[key->second].workers) {
            const auto& entry = m_entries[index];
            if (entry.worker->accepting && detail::fits(size, entry.free) && selects(selector, *entry.worker)
                && (!best || entry.free.cpuMilli > m_entries[*best].free.cpuMilli)) {
                best = index;
            }
        }
        if (best) {
            return best;
        }
    }
    return std::nullopt;
}

std::optional<std::string> CapacityIndex::find(const std::string& pool, const Selector& selector,
    const Resources& size, const std::string& spreadKey) const
{
    static const std::map<std::string, int> noJobs;
    auto spread = m_jobCounts.find(spreadKey);
    const auto& jobs = spread == m_jobCounts.end() ? noJobs : spread->second;
    for (bool withAccelerators : { false, true }) {
        if (size.accelerators > 0 && !withAccelerators) {
            continue;
        }
        std::vector<std::tuple<int, std::int64_t, const std::set<RackKey>*>> dataCentres;
        for (auto group = m_groups.lower_bound({ pool, withAccelerators, "" }); group != m_groups.end()
             && std::get<0>(group->first) == pool && std::get<1>(group->first) == withAccelerators;
             ++group) {
            auto count = jobs.find(std::get<2>(group->first));
            auto mostFree = group->second.empty() ? 0 : group->second.rbegin()->first;
            dataCentres.emplace_back(count == jobs.end() ? 0 : count->second, -mostFree, &group->second);
        }
        std::sort(dataCentres.begin(), dataCentres.end());
        for (const auto& [count, negativeFree, racks] : dataCentres) {
            if (auto index = findInGroup(*racks, selector, size)) {
                return m_entries[*index].worker->name;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> CapacityIndex::findWithThrottling(
    const std::string& pool, const Selector& selector, const Resources& size) const
{
    auto members = m_pools.find(pool);
    const WorkerEntry* best = nullptr;
    std::int64_t bestCpu = 0;
    if (members != m_pools.end()) {
        for (auto index : members->second) {
            const auto& entry = m_entries[index];
            auto free = entry.free;
            free.cpuMilli += entry.batchCpu;
            if (entry.worker->accepting && free.cpuMilli > bestCpu && detail::fits(size, free)
                && selects(selector, *entry.worker)) {
                best = &entry;
                bestCpu = free.cpuMilli;
            }
        }
    }
    return best == nullptr ? std::nullopt : std::optional<std::string>(best->worker->name);
}

bool CapacityIndex::couldEverFit(
    const std::string& pool, const Selector& selector, const Resources& size) const
{
    auto members = m_pools.find(pool);
    return members != m_pools.end()
        && std::any_of(members->second.begin(), members->second.end(), [&](std::size_t index) {
               const auto& worker = *m_entries[index].worker;
               return detail::fits(size, worker.capacity) && selects(selector, worker);
           });
}

Resources CapacityIndex::freeOn(const std::string& worker) const { return m_entries[entryOf(worker)].free; }

const std::vector<HeldJob>& CapacityIndex::jobsOn(const std::string& worker) const
{
    return m_entries[entryOf(worker)].jobs;
}

} // namespace celeryline
