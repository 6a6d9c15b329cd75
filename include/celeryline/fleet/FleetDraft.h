/// @file
/// Mutable copy of the fleet state that a command is applied to.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetState.h"

#include <cstdint>
#include <optional>
#include <string>

namespace celeryline::detail {

/// An object map that is shared with the previous state and copied on the first write.
template <typename T> class CopyOnWriteMap {
public:
    explicit CopyOnWriteMap(ObjectMap<T> base)
        : m_base(std::move(base))
    {
    }

    const NamedMap<T>& read() const { return m_copy ? *m_copy : *m_base; }

    /// @return the object, or nullptr if it doesn't exist.
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

/// Mutable copy of the fleet state that a command is applied to. Discarded if the command is rejected.
struct FleetDraft {
    /// @param fleet the current state.
    /// @param time time of the log entry that contains the command.
    /// @param id id of the command.
    FleetDraft(const FleetState& fleet, Millis time, const std::string& id);

    /// @return the revision of the state after the command.
    std::uint64_t nextRevision() const { return revision + 1; }

    /// Records that this command changed the object at the next revision.
    void recordChange(const std::string& kind, const std::string& name);

    /// Stores an instance and records the change, unless it is equal to the stored instance.
    void update(const Instance& instance);

    /// Stores a wave and records the change.
    void update(const Wave& wave);

    /// Stores a job and sets its revision to the next revision.
    void update(Job job);

    /// Sets the phase of an instance, the time of the change if the phase differs, and resets `drained`.
    void setPhase(Instance& instance, InstancePhase phase) const;

    /// @throws Error of kind NotFound if there is no such instance.
    const Instance& instance(const std::string& name) const;

    /// @throws Error of kind NotFound if there is no such wave.
    const Wave& wave(const std::string& name) const;

    /// @return the revision at which the object last changed; 0 if it never existed.
    std::uint64_t revisionOf(const std::string& kind, const std::string& name) const;

    /// Rejects a change to an object that has changed since the base revision. A base revision of 0 is
    /// allowed for objects that don't exist; without a base revision nothing is checked.
    /// @throws Error of kind Conflict that names the command that changed the object.
    void rejectIfChanged(const std::string& kind, const std::string& name, bool exists,
        const std::optional<std::uint64_t>& baseRevision) const;

    /// @return the resulting state; the revision is unchanged if nothing was written.
    FleetState finish() const;

    std::uint64_t revision;
    Millis now;
    std::string commandId;
    CopyOnWriteMap<Service> services;
    CopyOnWriteMap<Pool> pools;
    CopyOnWriteMap<Instance> instances;
    CopyOnWriteMap<Wave> waves;
    CopyOnWriteMap<Permit> permits;
    CopyOnWriteMap<Quota> quotas;
    CopyOnWriteMap<Job> jobs;
    CopyOnWriteMap<std::uint64_t> objectRevisions;
    CopyOnWriteMap<std::string> objectCommands;
};

} // namespace celeryline::detail
