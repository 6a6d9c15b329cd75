/// @file
/// The id of a job.
#pragma once

#include "celeryline/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace celeryline {

/// The id of a job: at most 16 bytes without NUL. Stored inline, because ids of tasks and runs are copied and
/// compared for each of thousands of runs per second.
class JobId {
public:
    static constexpr std::size_t maxSize = 16;

    JobId() = default;

    /// @param text the id.
    /// @throws Error of kind InvalidInput if it is too long.
    JobId(std::string_view text) // NOLINT(google-explicit-constructor): ids are strings elsewhere.
    {
        if (text.size() > maxSize)
            throw Error(ErrorKind::InvalidInput, "the id of a job is too long", "use at most 16 bytes");
        m_high = pack(text.substr(0, half));
        m_low = pack(text.size() > half ? text.substr(half) : std::string_view());
    }
    JobId(const std::string& text) // NOLINT(google-explicit-constructor)
        : JobId(std::string_view(text))
    {
    }
    JobId(const char* text) // NOLINT(google-explicit-constructor)
        : JobId(std::string_view(text))
    {
    }

    /// @return the id as a string.
    std::string text() const
    {
        std::string text;
        for (auto word : { m_high, m_low }) {
            for (int shift = topShift; shift >= 0 && ((word >> shift) & byteMask) != 0; shift -= bitsPerByte)
                text += static_cast<char>((word >> shift) & byteMask);
        }
        return text;
    }

    std::size_t hash() const { return std::hash<std::uint64_t>()(m_high * hashFactor ^ m_low); }

    /// Serializes the id with cereal.
    template <typename Archive> void serialize(Archive& archive) { archive(m_high, m_low); }

    friend bool operator==(const JobId& a, const JobId& b)
    {
        return a.m_high == b.m_high && a.m_low == b.m_low;
    }
    friend bool operator!=(const JobId& a, const JobId& b) { return !(a == b); }
    friend bool operator<(const JobId& a, const JobId& b)
    {
        return a.m_high != b.m_high ? a.m_high < b.m_high : a.m_low < b.m_low;
    }

private:
    static constexpr std::size_t half = 8;
    static constexpr int bitsPerByte = 8;
    static constexpr int topShift = 56;
    static constexpr std::uint64_t byteMask = 0xff;
    static constexpr std::uint64_t hashFactor = 0x9e3779b97f4a7c15;

    /// Packs big-endian, so that the order of ids is that of their strings.
    static std::uint64_t pack(std::string_view bytes)
    {
        std::uint64_t word = 0;
        int shift = topShift;
        for (auto it = bytes.begin(); it != bytes.end() && shift >= 0; ++it, shift -= bitsPerByte)
            word |= std::uint64_t { static_cast<unsigned char>(*it) } << shift;
        return word;
    }

    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

inline std::ostream& operator<<(std::ostream& stream, const JobId& id) { return stream << id.text(); }

} // namespace celeryline

template <> struct std::hash<celeryline::JobId> {
    std::size_t operator()(const celeryline::JobId& id) const { return id.hash(); }
};
