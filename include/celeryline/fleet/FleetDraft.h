/// @file
/// The next fleet state while a command is being applied.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetState.h"

#include <cstdint>
#include <optional>
#include <string>

namespace celeryline::detail {

/// One object map of the next state: shared with the state before until the first write.
template <typename T> class MapDraft {
public:
    explicit MapDraft(ObjectMap<T> base)
        : m_base(std::move(base))
    {
    }

    const NamedMap<T>& read() const { return m_copy ? *m_copy : *m_base; }

    /// @return the object, or nullptr if there is none.
    const T* find(const std::string& name) const
    {
        auto it = read().find(name);
        return it == read().end() ? nullptr : &it->second;
    }

    NamedMap<T>& write()
    {
        if (!m_copy) {
            m_copy = std::make_shared<NamedMap<T>>(*m_base);
        }
        return *m_copy;
    }

    bool isChanged() const { return m_copy != nullptr; }
    ObjectMap<T> finish() const { return m_copy ? ObjectMap<T>(m_copy) : m_base; }

private:
    ObjectMap<T> m_base;
    std::shared_ptr<NamedMap<T>> m_copy;
};

/// The next fleet state while a command is being applied. Discarded if the command is refused.
struct FleetDraft {
    /// @param fleet the state before.
    /// @param time log entry time of the command.
    /// @param id id of the command.
    FleetDraft(const FleetState& fleet, Millis time, const std::string& id);

    /// @return the revision that the command gives.
    std::uint64_t nextRevision() const { return revision + 1; }

    /// Notes that an object changed at the next revision.
    void touch(const std::string& kind, const std::string& name);

    /// Writes an instance back and notes its change, unless it is as it was.
    void update(const Instance& instance);

    /// Writes a wave back and notes its change.
    void update(const Wave& wave);

    /// Writes a job back with the next revision.
    void update(Job job);

    /// Changes an instance's phase and notes since when.
    void setPhase(Instance& instance, InstancePhase phase) const;

    /// @return the instance.
    /// @throws Error of kind NotFound.
    const Instance& instance(const std::string& name) const;

    /// @return the wave.
    /// @throws Error of kind NotFound.
    const Wave& wave(const std::string& name) const;

    /// @return the newest revision of an object; 0 if it never existed.
    std::uint64_t revisionOf(const std::string& kind, const std::string& name) const;

    /// Refuses a change to an object that changed after the base revision.
    /// @throws Error of kind Conflict that names the command that won.
    void refuseIfChanged(const std::string& kind, const std::string& name, bool exists,
        const std::optional<std::uint64_t>& baseRevision) const;

    /// @return the next state; the revision is the same if nothing was written.
    FleetState finish() const;

    std::uint64_t revision;
    Millis now;
    std::string commandId;
    MapDraft<Service> services;
    MapDraft<Pool> pools;
    MapDraft<Instance> instances;
    MapDraft<Wave> waves;
    MapDraft<Permit> permits;
    MapDraft<Quota> quotas;
    MapDraft<Job> jobs;
    MapDraft<std::uint64_t> objectRevisions;
    MapDraft<std::string> objectCommands;
};

} // namespace celeryline::detail
