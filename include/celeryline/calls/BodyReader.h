/// @file
/// Reads request bodies with a deadline for the whole body.
#pragma once

#include "celeryline/base/Clock.h"

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <cstddef>
#include <optional>
#include <string>

namespace celeryline {

/// Reads a request body directly from its connection. Poco's streams restart the receive timeout with each
/// byte and treat a truncated chunked body as complete.
class BodyReader {
public:
    /// @param request the request whose body is read; its stream() must not be used.
    /// @param limit maximum size of the body in bytes.
    /// @param deadline when the whole body must have been received.
    /// @param clock clock of the deadline.
    BodyReader(
        Poco::Net::HTTPServerRequestImpl& request, std::size_t limit, Millis deadline, const Clock& clock);
    ~BodyReader();
    BodyReader(const BodyReader&) = delete;
    BodyReader& operator=(const BodyReader&) = delete;

    /// @param length the value of Content-Length; must not exceed the limit.
    /// @return the body.
    /// @throws CallRefused 408 if the body is not received before the deadline.
    std::string readFixed(std::size_t length);

    /// @return the decoded body of a request with chunked transfer coding.
    /// @throws CallRefused 400 if the coding is invalid, 408 if the body is not received before the deadline,
    /// 413 if it exceeds the limit.
    std::string readChunked();

private:
    void armReceiveTimeout();
    int get();
    std::string readLine();
    void append(std::string& body, std::size_t count);

    Poco::Net::HTTPSession& m_session;
    Poco::Net::StreamSocket& m_socket;
    std::optional<Poco::Timespan> m_originalTimeout; ///< Restored on destruction; set once it is overridden.
    std::size_t m_limit;
    Millis m_deadline;
    const Clock& m_clock;
};

/// @param limit maximum size of a body in bytes.
/// @return the error message for a body that exceeds the limit.
std::string bodyTooLarge(std::size_t limit);

} // namespace celeryline
