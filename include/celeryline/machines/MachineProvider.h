/// @file
/// Interface to the provider of the machines that runners run on.
#pragma once

#include "celeryline/jobs/JobSpec.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// State of a machine as reported by its provider.
enum class MachineState : std::uint8_t { Up, Moving, Upkeep, Down };

/// A machine as listed by its provider.
struct MachineInfo {
    std::string machine;
    std::string pool;
    MachineState state = MachineState::Up;
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
    std::string runner; ///< Id of the runner on it; empty if there is none.
};

/// Capacity and labels that machines have in common. A large fleet has few kinds.
struct MachineKind {
    Resources capacity;
    std::vector<std::string> labels;
};

inline bool operator==(const MachineKind& a, const MachineKind& b)
{
    return a.capacity == b.capacity && a.labels == b.labels;
}
bool operator<(const MachineKind& a, const MachineKind& b);

/// @param kinds kinds of the machines of a provider.
/// @param job a job.
/// @return whether each task of the job would fit some machine if that machine were idle.
///
/// Example: `if (!couldEverFit(kinds, job)) { refuse(job); }`
bool couldEverFit(const std::set<MachineKind>& kinds, const JobSpec& job);

/// Outcome of an order for a machine.
enum class MachineOutcome : std::uint8_t {
    Done, ///< Carried out by this or an earlier call.
    Busy, ///< The machine is not up, or is leaving.
    Refused, ///< The provider rejects the order in this form.
    Throttled, ///< Rate limit exceeded; the same order can be sent later.
    Unknown ///< No answer: it may have been carried out; the order is idempotent and can be sent again.
};

/// Lease holder and fencing token of an order.
struct MachineLease {
    std::string holder;
    std::uint64_t fence = 0;
};

/// The provider of the machines. Calls are asynchronous and answer through a callback.
class MachineProvider {
public:
    using ListCallback = std::function<void(std::optional<std::vector<MachineInfo>>)>;
    using OrderCallback = std::function<void(MachineOutcome)>;

    virtual ~MachineProvider() = default;

    /// @param done called with all machines, or with `std::nullopt` if the provider doesn't answer.
    virtual void list(ListCallback done) = 0;

    /// Moves a machine to another pool. This stops everything that runs on it.
    virtual void move(
        const std::string& machine, const std::string& pool, const MachineLease& lease, OrderCallback done)
        = 0;

    /// Begins the upkeep of a machine. This stops everything that runs on it.
    virtual void beginUpkeep(
        const std::string& machine, std::uint64_t wave, const MachineLease& lease, OrderCallback done)
        = 0;
};

} // namespace celeryline
