/// @file
/// The process's file descriptors, as seen and limited by a test.
#pragma once

#include <cstddef>
#include <filesystem>
#include <stdexcept>

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

} // namespace celeryline::test
