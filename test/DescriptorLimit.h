/// @file
/// The process's file descriptors, as seen and limited by a test.
#pragma once

#include "RawConnection.h"

#include <kj/async-io.h>

#include <cstddef>
#include <filesystem>
#include <stdexcept>
#include <string>

#include <sys/resource.h>

namespace celeryline::test {

/// @return the number of open file descriptors of this process.
inline std::size_t openDescriptors()
{
    std::size_t count = 0;
    for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator("/proc/self/fd"))
        ++count;
    return count;
}

/// Limits the descriptors of this process while it exists. Open ones stay usable.
class DescriptorLimit {
public:
    /// @param limit no descriptor with this or a higher number can be opened.
    explicit DescriptorLimit(rlim_t limit)
    {
        if (getrlimit(RLIMIT_NOFILE, &m_before) != 0)
            throw std::runtime_error("can't read the limit of descriptors");
        set({ limit, m_before.rlim_max });
    }
    ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &m_before); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

private:
    static void set(const rlimit& limit)
    {
        if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
            throw std::runtime_error("can't set the limit of descriptors");
    }

    rlimit m_before {};
};

/// Connects to a port of this process while it can open no descriptor, and leaves time before and after the
/// descriptors are available again.
/// @param address "IP:port" of the listener.
/// @return the client, which is still connected.
[[nodiscard]] inline RawClient connectDuringShortage(kj::AsyncIoContext& io, const std::string& address)
{
    constexpr kj::Duration waitTime = 300 * kj::MILLISECONDS;
    auto& timer = io.provider->getTimer();
    RawClient client(address); // Needs its descriptor before the shortage.
    {
        const DescriptorLimit none(0);
        client.connect();
        timer.afterDelay(waitTime).wait(io.waitScope);
    }
    timer.afterDelay(waitTime).wait(io.waitScope);
    return client;
}

} // namespace celeryline::test
