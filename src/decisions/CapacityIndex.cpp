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

std::size_t CapacityIndex::slotOf(const std::string& worker) const
{
    auto found = m_slotByName.find(worker);
    if (found == m_slotByName.end()) {
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

void CapacityIndex::detach(std::size_t slot)
{
    auto& entry = m_slots[slot];
    if (!entry.known) {
        return;
    }
    auto& rack = m_racks[entry.rack];
    auto& group = m_groups[rack.group];
    group.erase({ rack.freeCpu, entry.rack });
    rack.slots.erase(std::remove(rack.slots.begin(), rack.slots.end(), slot), rack.slots.end());
    rack.freeCpu -= entry.free.cpuMilli;
    group.insert({ rack.freeCpu, entry.rack });
    auto& members = m_pools[entry.worker->pool];
    members.erase(std::remove(members.begin(), members.end(), slot), members.end());
    entry.known = false;
    entry.free = {};
}

void CapacityIndex::refresh(std::size_t slot)
{
    auto& entry = m_slots[slot];
    Resources held;
    Resources later = entry.reported;
    entry.batchCpu = 0;
    for (const auto& job : entry.jobs) {
        held = detail::add(held, job.size);
        if (job.fence > entry.throughFence) {
            later = detail::add(later, job.size);
        }
        entry.batchCpu += job.urgent ? 0 : job.size.cpuMilli;
    }
    // A job that has just started uses less than it will, and a report may be older than the last
    // placement: the larger of both views is taken.
    auto used = larger(held, later);
    auto free = entry.known && entry.worker->accepting ? freeOf(entry.worker->capacity, used) : Resources {};
    if (entry.known && free.cpuMilli != entry.free.cpuMilli) {
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
    auto [found, isNew] = m_slotByName.try_emplace(worker.name, m_slots.size());
    auto slot = found->second;
    if (isNew) {
        m_slots.emplace_back();
    }
    detach(slot);
    auto& entry = m_slots[slot];
    entry.worker = std::make_shared<const WorkerCapacity>(worker);
    entry.rack = rackOf(worker);
    entry.known = true;
    m_racks[entry.rack].slots.push_back(slot);
    m_pools[worker.pool].push_back(slot);
    refresh(slot);
}

void CapacityIndex::removeWorker(const std::string& worker)
{
    auto slot = slotOf(worker);
    detach(slot);
    for (const auto& job : m_slots[slot].jobs) {
        --m_spread[job.spreadKey][m_slots[slot].worker->dataCentre];
    }
    m_slots[slot].jobs.clear();
    m_slots[slot].reported = {};
}

void CapacityIndex::place(const std::string& worker, const HeldJob& job)
{
    auto slot = slotOf(worker);
    auto& entry = m_slots[slot];
    invariant(entry.known, "a job is placed only on a worker that exists");
    for (const auto& held : entry.jobs) {
        invariant(held.id != job.id, "a worker holds a job only once");
    }
    invariant(job.fence > entry.throughFence, "a placement has a newer fence than its worker has reported");
    entry.jobs.push_back(job);
    ++m_spread[job.spreadKey][entry.worker->dataCentre];
    refresh(slot);
}

void CapacityIndex::end(const std::string& worker, const std::string& job)
{
    auto slot = slotOf(worker);
    auto& entry = m_slots[slot];
    auto found = std::find_if(
        entry.jobs.begin(), entry.jobs.end(), [&](const HeldJob& held) { return held.id == job; });
    if (found != entry.jobs.end()) {
        --m_spread[found->spreadKey][entry.worker->dataCentre];
        entry.jobs.erase(found);
        refresh(slot);
    }
}

void CapacityIndex::report(const std::string& worker, const Resources& usage, std::uint64_t throughFence)
{
    auto slot = slotOf(worker);
    auto& entry = m_slots[slot];
    if (throughFence < entry.throughFence) {
        return; // Reports may arrive out of order.
    }
    entry.reported = usage;
    entry.throughFence = throughFence;
    refresh(slot);
}

std::optional<std::size_t> CapacityIndex::findInGroup(
    const std::set<RackKey>& racks, const Selector& selector, const Resources& size) const
{
    for (auto key = racks.rbegin(); key != racks.rend() && key->first >= size.cpuMilli; ++key) {
        std::optional<std::size_t> best;
        for (auto slot : m_racks[key->second].slots) {
            const auto& entry = m_slots[slot];
            if (entry.worker->accepting && detail::fits(size, entry.free) && selects(selector, *entry.worker)
                && (!best || entry.free.cpuMilli > m_slots[*best].free.cpuMilli)) {
                best = slot;
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
    auto spread = m_spread.find(spreadKey);
    const auto& jobs = spread == m_spread.end() ? noJobs : spread->second;
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
            if (auto slot = findInGroup(*racks, selector, size)) {
                return m_slots[*slot].worker->name;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> CapacityIndex::findThrottled(
    const std::string& pool, const Selector& selector, const Resources& size) const
{
    auto members = m_pools.find(pool);
    const Slot* best = nullptr;
    std::int64_t bestCpu = 0;
    if (members != m_pools.end()) {
        for (auto slot : members->second) {
            const auto& entry = m_slots[slot];
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
        && std::any_of(members->second.begin(), members->second.end(), [&](std::size_t slot) {
               const auto& worker = *m_slots[slot].worker;
               return detail::fits(size, worker.capacity) && selects(selector, worker);
           });
}

Resources CapacityIndex::freeOn(const std::string& worker) const { return m_slots[slotOf(worker)].free; }

const std::vector<HeldJob>& CapacityIndex::heldOn(const std::string& worker) const
{
    return m_slots[slotOf(worker)].jobs;
}

} // namespace celeryline
