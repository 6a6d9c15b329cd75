/// @file
/// Encoding of integers and texts for files.
#pragma once

#include "celeryline/base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace celeryline::detail {

/// Appends an integer in little-endian order.
template <typename Integer> void putInteger(std::string& to, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff));
}

/// Appends a text with its length.
inline void putText(std::string& to, std::string_view text)
{
    putInteger(to, static_cast<std::uint64_t>(text.size()));
    to.append(text);
}

/// Reads what putInteger() and putText() wrote.
class ByteReader {
public:
    /// @param bytes what to read; must outlive this object.
    /// @param source name of the source for messages.
    ByteReader(std::string_view bytes, std::string source)
        : m_bytes(bytes)
        , m_source(std::move(source))
    {
    }

    template <typename Integer> Integer integer()
    {
        auto raw = take(sizeof(Integer));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(raw[i])) << (8 * i);
        return static_cast<Integer>(value);
    }

    std::string text() { return std::string(take(integer<std::uint64_t>())); }

    bool atEnd() const { return m_position == m_bytes.size(); }

private:
    std::string_view take(std::uint64_t size)
    {
        if (size > m_bytes.size() - m_position)
            throw Error(ErrorKind::Corrupt, m_source + " ends early", "restore it from a copy");
        auto part = m_bytes.substr(m_position, size);
        m_position += size;
        return part;
    }

    std::string_view m_bytes;
    std::string m_source;
    std::size_t m_position = 0;
};

} // namespace celeryline::detail
