/// @file
/// Reading of a request's body with a time limit for the whole.
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

/// Reads a request's body from its connection. Poco's own streams restart the time limit with each byte and
/// take a body whose chunked coding breaks off for a whole one.
class BodyReader {
public:
    /// @param request whose body is read; its stream() must not be used.
    /// @param limit largest size.
    /// @param until when the whole body must have arrived.
    /// @param clock measures the time.
    BodyReader(
        Poco::Net::HTTPServerRequestImpl& request, std::size_t limit, Millis deadline, const Clock& clock);
    ~BodyReader();
    BodyReader(const BodyReader&) = delete;
    BodyReader& operator=(const BodyReader&) = delete;

    /// @param length announced length, within the limit.
    /// @return the body.
    /// @throws CallRefused 408 if it does not arrive in time.
    std::string readFixed(std::size_t length);

    /// @return a body in chunked coding.
    /// @throws CallRefused 400 if the coding is wrong, 408 if it does not arrive in time, 413 if it is larger
    /// than the limit.
    std::string readChunked();

private:
    void armReceiveTimeout();
    int get();
    std::string readLine();
    void append(std::string& body, std::size_t count);

    Poco::Net::HTTPSession& m_session;
    Poco::Net::StreamSocket& m_socket;
    std::optional<Poco::Timespan> m_originalTimeout; ///< Set while the socket has another one.
    std::size_t m_limit;
    Millis m_deadline;
    const Clock& m_clock;
};

/// @param limit largest size of a body.
/// @return text that tells a caller that its body is too large.
std::string bodyTooLarge(std::size_t limit);

} // namespace celeryline
