/// @file
/// Incremental parser for HTTP/1.1 responses.
#pragma once

#include "celeryline/calls/RunnerResponse.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace celeryline {

/// Parses one HTTP/1.1 response incrementally.
///
/// A response without Content-Length or chunked transfer coding is rejected as Broken: a body delimited by
/// the end of the connection can't be distinguished from a truncated one.
class ResponseParser {
public:
    /// Parsing progress.
    enum class Progress { Head, Body, Complete, Broken };

    /// @param isHeadRequest whether the request method was HEAD, so that the response has no body.
    explicit ResponseParser(bool isHeadRequest);

    /// Consumes bytes up to the end of the response.
    /// @param data received bytes.
    /// @param size number of received bytes.
    /// @return the number of consumed bytes; less than size if bytes follow the end of the response.
    std::size_t feed(const char* data, std::size_t size);

    Progress progress() const { return m_progress; }

    /// @return whether the connection may be reused after this response.
    bool keepsAlive() const { return m_keepsAlive; }

    /// @return the value of Content-Length, or -1 if the header is absent.
    std::int64_t contentLength() const { return m_contentLength; }

    /// @return the response; the body holds the bytes that were parsed and not moved out by the user.
    RunnerResponse& response() { return m_response; }

    /// @return why the response is Broken.
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
