#include "celeryline/jobs/RoomIndex.h"

#include <utility>

namespace celeryline {

void RoomIndex::set(RunnerRoom room)
{
    remove(room.life.runner);
    auto runner = room.life.runner;
    const auto& added = m_rooms.emplace(std::move(runner), std::move(room)).first->second;
    m_pools[added.service].insert(&added);
}

void RoomIndex::remove(const std::string& runner)
{
    auto found = m_rooms.find(runner);
    if (found == m_rooms.end())
        return;
    m_pools[found->second.service].erase(&found->second);
    m_rooms.erase(found);
}

void RoomIndex::clear()
{
    m_pools.clear();
    m_rooms.clear();
}

const RunnerRoom* RoomIndex::find(const std::string& runner) const
{
    auto found = m_rooms.find(runner);
    return found == m_rooms.end() ? nullptr : &found->second;
}

const RoomPool& RoomIndex::pool(const std::string& service) const
{
    static const RoomPool empty;
    auto found = m_pools.find(service);
    return found == m_pools.end() ? empty : found->second;
}

void RoomIndex::reserve(const RunnerRoom& room, const StepSpec& step)
{
    auto& changed = m_rooms.at(room.life.runner);
    auto& pool = m_pools[changed.service];
    // The order within the pool depends on what is free.
    pool.erase(&changed);
    changed.free -= reservedBy(step);
    if (changed.takesOneTask)
        changed.free = {};
    changed.lasting += step.isLongRunning ? 1 : 0;
    pool.insert(&changed);
}

} // namespace celeryline
