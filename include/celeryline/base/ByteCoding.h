/// @file
/// Binary encoding of snapshots.
#pragma once

#include "celeryline/base/Error.h"

#include <cstdint>
#include <cstring>
#include <string>

namespace celeryline {

/// Encodes integers and strings into a byte string.
class ByteWriter {
public:
    /// Appends an integer as 8 bytes in little-endian order.
    void number(std::uint64_t value)
    {
        for (int i = 0; i < 8; ++i) {
            m_bytes.push_back(static_cast<char>(value >> (8 * i)));
        }
    }

    /// Appends a string, preceded by its length.
    void text(const std::string& value)
    {
        number(value.size());
        m_bytes += value;
    }

    /// @return the encoded bytes.
    const std::string& bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

/// Decodes bytes that were written by ByteWriter.
class ByteReader {
public:
    /// @param bytes the encoded bytes; must outlive this object.
    explicit ByteReader(const std::string& bytes)
        : m_bytes(bytes)
    {
    }

    /// @throws Error of kind Corrupt if the data is truncated; the same applies to text().
    std::uint64_t number()
    {
        requireRemaining(8);
        std::uint64_t value = 0;
        for (int i = 0; i < 8; ++i) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(m_bytes[m_position++])) << (8 * i);
        }
        return value;
    }

    std::string text()
    {
        const auto size = number();
        requireRemaining(size);
        m_position += size;
        return m_bytes.substr(m_position - size, size);
    }

    /// @return whether all bytes have been read.
    bool atEnd() const { return m_position == m_bytes.size(); }

private:
    void requireRemaining(std::uint64_t size) const
    {
        if (size > m_bytes.size() - m_position) {
            throw Error(
                ErrorKind::Corrupt, "the encoded data is truncated", "restore it from another instance");
        }
    }

    const std::string& m_bytes;
    std::size_t m_position = 0;
};

} // namespace celeryline
