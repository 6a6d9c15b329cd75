/// @file
/// Incremental parsing of HTTP/1.1 answers.
#pragma once

#include "celeryline/calls/RunnerAnswer.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryline {

/// Parses one HTTP/1.1 answer from the bytes of a connection.
///
/// Only an answer whose end is marked by Content-Length or chunked coding can be complete: one that ends with
/// the connection can't be told from a truncated one and is broken.
class AnswerParser {
public:
    /// How far the answer has got.
    enum class Progress { Head, Body, Complete, Broken };

    /// @param answersHead whether the request was a HEAD, whose answer has no body.
    explicit AnswerParser(bool answersHead);

    /// Consumes bytes up to the end of the answer.
    /// @param data received bytes.
    /// @param size their number.
    /// @return the number consumed; less than size if bytes follow the end of the answer.
    std::size_t feed(const char* data, std::size_t size);

    /// @return how far the answer has got.
    Progress progress() const { return m_progress; }

    /// @return whether the connection may carry another exchange after this answer.
    bool keepsAlive() const { return m_keepsAlive; }

    /// @return the length of the body if Content-Length gave one, otherwise -1.
    std::int64_t announcedLength() const { return m_length; }

    /// @return the answer; its body holds what was parsed and not taken away.
    RunnerAnswer& answer() { return m_answer; }

    /// @return what made the answer broken.
    const std::string& fault() const { return m_fault; }

private:
    enum class Part { Head, Fixed, ChunkSize, ChunkData, ChunkEnd, Trailer, End };

    bool takeLine(const char* data, std::size_t size, std::size_t& used);
    void onLine();
    void onHeadLine();
    void onHeadEnd();
    void onField(const std::string& line);
    bool readLengthFields(bool& isChunked);
    void onChunkSize();
    void finish();
    void fail(const std::string& fault);

    bool m_answersHead;
    Progress m_progress = Progress::Head;
    Part m_part = Part::Head;
    RunnerAnswer m_answer;
    std::string m_line;
    std::size_t m_headBytes = 0;
    std::int64_t m_length = -1;
    std::uint64_t m_left = 0;
    bool m_hasStatus = false;
    bool m_keepsAlive = true;
    std::string m_fault;
};

} // namespace celeryline
