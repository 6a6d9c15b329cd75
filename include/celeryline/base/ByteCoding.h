/// @file
/// Binary coding of snapshots.
#pragma once

#include "celeryline/base/Error.h"

#include <cstdint>
#include <cstring>
#include <string>

namespace celeryline {

/// Appends numbers and texts to a byte string.
class ByteWriter {
public:
    /// Appends a number in little-endian order.
    void number(std::uint64_t value)
    {
        for (int i = 0; i < 8; ++i) {
            m_bytes.push_back(static_cast<char>(value >> (8 * i)));
        }
    }

    /// Appends a text with its length.
    void text(const std::string& value)
    {
        number(value.size());
        m_bytes += value;
    }

    /// @return what was appended so far.
    const std::string& bytes() const { return m_bytes; }

private:
    std::string m_bytes;
};

/// Reads what ByteWriter wrote.
class ByteReader {
public:
    /// @param bytes must outlive the reader.
    explicit ByteReader(const std::string& bytes)
        : m_bytes(bytes)
    {
    }

    /// @throws Error of kind Corrupt if the bytes end too early; so does text().
    std::uint64_t number()
    {
        need(8);
        std::uint64_t value = 0;
        for (int i = 0; i < 8; ++i) {
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(m_bytes[m_at++])) << (8 * i);
        }
        return value;
    }

    std::string text()
    {
        const auto size = number();
        need(size);
        m_at += size;
        return m_bytes.substr(m_at - size, size);
    }

    /// @return whether everything was read.
    bool atEnd() const { return m_at == m_bytes.size(); }

private:
    void need(std::uint64_t size) const
    {
        if (size > m_bytes.size() - m_at) {
            throw Error(ErrorKind::Corrupt, "the bytes end too early", "restore them from another instance");
        }
    }

    const std::string& m_bytes;
    std::size_t m_at = 0;
};

} // namespace celeryline
