/// @file
/// Binary encoding of integers and strings in files.
#pragma once

#include "celeryline/base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace celeryline::detail {

/// Appends an integer in little-endian order.
template <typename Integer> void appendInteger(std::string& to, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff));
}

/// Appends a string, preceded by its length.
inline void appendString(std::string& to, std::string_view text)
{
    appendInteger(to, static_cast<std::uint64_t>(text.size()));
    to.append(text);
}

/// Decodes bytes that were written by appendInteger() and appendString().
class ByteReader {
public:
    /// @param bytes the encoded bytes; must outlive this object.
    /// @param source name of the source, used in error messages.
    ByteReader(std::string_view bytes, std::string source)
        : m_bytes(bytes)
        , m_source(std::move(source))
    {
    }

    template <typename Integer> Integer integer()
    {
        auto raw = readBytes(sizeof(Integer));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(Integer); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(raw[i])) << (8 * i);
        return static_cast<Integer>(value);
    }

    std::string text() { return std::string(readBytes(integer<std::uint64_t>())); }

    bool atEnd() const { return m_position == m_bytes.size(); }

private:
    std::string_view readBytes(std::uint64_t size)
    {
        if (size > m_bytes.size() - m_position)
            throw Error(ErrorKind::Corrupt, m_source + " is truncated", "restore it from a copy");
        auto field = m_bytes.substr(m_position, size);
        m_position += size;
        return field;
    }

    std::string_view m_bytes;
    std::string m_source;
    std::size_t m_position = 0;
};

} // namespace celeryline::detail
