/// @file
/// Incremental parsing of HTTP/1.1 answers.
#pragma once

#include "celeryline/calls/RunnerResponse.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryline {

/// Parses one HTTP/1.1 answer from the bytes of a connection.
///
/// Only an answer whose end is marked by Content-Length or chunked coding can be complete: one that ends with
/// the connection can't be told from a truncated one and is broken.
class ResponseParser {
public:
    /// How far the answer has got.
    enum class Progress { Head, Body, Complete, Broken };

    /// @param answersHead whether the request was a HEAD, whose answer has no body.
    explicit ResponseParser(bool isHeadRequest);

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
    std::int64_t contentLength() const { return m_contentLength; }

    /// @return the answer; its body holds what was parsed and not taken away.
    RunnerResponse& response() { return m_response; }

    /// @return what made the answer broken.
    const std::string& error() const { return m_error; }

private:
    enum class State { Head, Fixed, ChunkSize, ChunkData, ChunkEnd, Trailer, End };

    bool readLine(const char* data, std::size_t size, std::size_t& used);
    void onLine();
    void onHeadLine();
    void onHeadEnd();
    void onField(const std::string& line);
    bool readLengthFields(bool& isChunked);
    void onChunkSize();
    void finish();
    void fail(const std::string& error);

    bool m_isHeadRequest;
    Progress m_progress = Progress::Head;
    State m_state = State::Head;
    RunnerResponse m_response;
    std::string m_line;
    std::size_t m_headBytes = 0;
    std::int64_t m_contentLength = -1;
    std::uint64_t m_bytesRemaining = 0;
    bool m_hasStatus = false;
    bool m_keepsAlive = true;
    std::string m_error;
};

} // namespace celeryline
