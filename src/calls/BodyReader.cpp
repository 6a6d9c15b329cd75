#include "celeryline/calls/BodyReader.h"

#include "celeryline/calls/CallRefused.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include <algorithm>

namespace celeryline {

namespace {

constexpr std::size_t maxChunkLineBytes = 1024;
constexpr const char* timeoutMessage
    = "the body was not received in time or the connection failed; send the request again";

/// Gives access to the protected read functions of a session.
struct SessionAccess : Poco::Net::HTTPSession {
    using HTTPSession::buffered;
    using HTTPSession::get;
    using HTTPSession::read;
};

} // namespace

std::string bodyTooLarge(std::size_t limit)
{
    return "the body is larger than " + std::to_string(limit)
        + " bytes (limits.maxBodyBytes); send a smaller one";
}

BodyReader::BodyReader(
    Poco::Net::HTTPServerRequestImpl& request, std::size_t limit, Millis deadline, const Clock& clock)
    : m_session(request.session())
    , m_socket(request.socket())
    , m_limit(limit)
    , m_deadline(deadline)
    , m_clock(clock)
{
}

BodyReader::~BodyReader()
{
    try {
        if (m_originalTimeout) {
            m_socket.setReceiveTimeout(*m_originalTimeout);
        }
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the connection has failed already.
    }
}

std::string BodyReader::readFixed(std::size_t length)
{
    std::string body;
    append(body, length);
    return body;
}

std::string BodyReader::readChunked()
{
    std::string body;
    for (;;) {
        const auto line = readLine();
        const auto size = Poco::trim(line.substr(0, line.find(';')));
        unsigned length = 0;
        if (size.size() > 7 || !Poco::NumberParser::tryParseHex(size, length) || size.find('x') == 1) {
            throw CallRefused(400, "a chunk size in the body is malformed");
        }
        if (length == 0) {
            break;
        }
        if (body.size() + length > m_limit) {
            throw CallRefused(413, bodyTooLarge(m_limit));
        }
        append(body, length);
        if (!readLine().empty()) {
            throw CallRefused(400, "a chunk of the body exceeds its declared size");
        }
    }
    while (!readLine().empty()) { } // Trailer fields are not forwarded.
    return body;
}

void BodyReader::armReceiveTimeout()
{
    if ((m_session.*(&SessionAccess::buffered))() > 0) {
        return;
    }
    const auto remaining = m_deadline - m_clock.now();
    if (remaining.count <= 0) {
        throw CallRefused(408, timeoutMessage);
    }
    if (!m_originalTimeout) {
        m_originalTimeout = m_socket.getReceiveTimeout();
    }
    m_socket.setReceiveTimeout(Poco::Timespan(remaining.count * 1000));
}

int BodyReader::get()
{
    armReceiveTimeout();
    try {
        return (m_session.*(&SessionAccess::get))();
    } catch (const Poco::Exception&) {
        throw CallRefused(408, timeoutMessage);
    }
}

std::string BodyReader::readLine()
{
    std::string line;
    for (;;) {
        const int c = get();
        if (c == std::char_traits<char>::eof()) {
            throw CallRefused(408, timeoutMessage);
        }
        if (c == '\n') {
            break;
        }
        if (line.size() >= maxChunkLineBytes) {
            throw CallRefused(400, "a line of the body's chunked coding is too long");
        }
        line.push_back(static_cast<char>(c));
    }
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return line;
}

void BodyReader::append(std::string& body, std::size_t count)
{
    const std::size_t end = body.size() + count;
    while (body.size() < end) {
        armReceiveTimeout();
        // Grows with the received bytes, so that a large Content-Length alone allocates no memory.
        const std::size_t at = body.size();
        body.resize(std::min(end, at + 65536));
        int received = 0;
        try {
            received = (m_session.*(&SessionAccess::read))(
                &body[at], static_cast<std::streamsize>(body.size() - at));
        } catch (const Poco::Exception&) {
            throw CallRefused(408, timeoutMessage);
        }
        if (received <= 0) {
            throw CallRefused(408, timeoutMessage);
        }
        body.resize(at + static_cast<std::size_t>(received));
    }
}

} // namespace celeryline
