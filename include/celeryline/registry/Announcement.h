/// @file
/// Registration data of an upstream.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/LabelSet.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// The kinds of upstreams.
enum class UpstreamKind : std::uint8_t { Runner, Worker };

/// Amounts of resources.
struct Resources {
    std::int64_t cpuMilli = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
};

inline bool operator==(const Resources& a, const Resources& b)
{
    return std::tie(a.cpuMilli, a.memoryMb, a.accelerators)
        == std::tie(b.cpuMilli, b.memoryMb, b.accelerators);
}

inline Resources& operator+=(Resources& a, const Resources& b)
{
    a.cpuMilli += b.cpuMilli;
    a.memoryMb += b.memoryMb;
    a.accelerators += b.accelerators;
    return a;
}

inline Resources& operator-=(Resources& a, const Resources& b)
{
    a.cpuMilli -= b.cpuMilli;
    a.memoryMb -= b.memoryMb;
    a.accelerators -= b.accelerators;
    return a;
}

/// Registration data of an upstream, without its task list.
struct Announcement {
    std::string name;
    UpstreamKind kind = UpstreamKind::Runner;
    std::string address; ///< "IP:port" of its HTTP listener; empty for workers without one.
    std::string dataCentre;
    std::string rack;
    LabelSet labels;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    std::uint64_t bootEpoch = 0; ///< Differs after each start of the upstream.
    Millis lease;
    bool draining = false;
    Resources capacity;
    Resources usage;
};

inline bool operator==(const Announcement& a, const Announcement& b)
{
    return std::tie(a.name, a.kind, a.address, a.dataCentre, a.rack, a.labels, a.slots, a.connections,
               a.bootEpoch, a.lease, a.draining, a.capacity, a.usage)
        == std::tie(b.name, b.kind, b.address, b.dataCentre, b.rack, b.labels, b.slots, b.connections,
            b.bootEpoch, b.lease, b.draining, b.capacity, b.usage);
}

} // namespace celeryline
