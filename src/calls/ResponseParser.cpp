#include "celeryline/calls/ResponseParser.h"

#include <Poco/String.h>

#include <algorithm>

namespace celeryline {

namespace {

constexpr std::size_t maxHeadBytes = 64 * 1024;

bool parseDigits(const std::string& text, unsigned base, std::uint64_t& value)
{
    if (text.empty() || text.size() > 15) {
        return false;
    }
    value = 0;
    for (char c : text) {
        const char lower = static_cast<char>(c | 0x20);
        unsigned digit = base;
        if (c >= '0' && c <= '9') {
            digit = static_cast<unsigned>(c - '0');
        } else if (lower >= 'a' && lower <= 'f') {
            digit = static_cast<unsigned>(lower - 'a') + 10;
        }
        if (digit >= base) {
            return false;
        }
        value = value * base + digit;
    }
    return true;
}

} // namespace

const std::string* findField(const HeaderFields& fields, const std::string& name)
{
    for (const auto& field : fields) {
        if (Poco::icompare(field.first, name) == 0) {
            return &field.second;
        }
    }
    return nullptr;
}

ResponseParser::ResponseParser(bool isHeadRequest)
    : m_isHeadRequest(isHeadRequest)
{
}

std::size_t ResponseParser::feed(const char* data, std::size_t size)
{
    std::size_t used = 0;
    while (used < size && m_progress != Progress::Complete && m_progress != Progress::Broken) {
        if (m_state == State::Fixed || m_state == State::ChunkData) {
            const auto take = std::min<std::uint64_t>(m_bytesRemaining, size - used);
            m_response.body.append(data + used, take);
            used += take;
            m_bytesRemaining -= take;
            if (m_bytesRemaining == 0) {
                m_state == State::Fixed ? finish() : void(m_state = State::ChunkEnd);
            }
        } else if (readLine(data, size, used)) {
            onLine();
            m_line.clear();
        }
    }
    return used;
}

bool ResponseParser::readLine(const char* data, std::size_t size, std::size_t& used)
{
    const char* begin = data + used;
    const char* end = std::find(begin, data + size, '\n');
    const bool isWhole = end != data + size;
    const auto length = static_cast<std::size_t>(end - begin);
    m_headBytes += length + 1;
    if (m_headBytes > maxHeadBytes) {
        fail("the response header is too long");
        return false;
    }
    m_line.append(begin, length);
    used += length + (isWhole ? 1 : 0);
    if (isWhole && !m_line.empty() && m_line.back() == '\r') {
        m_line.pop_back();
    }
    return isWhole;
}

void ResponseParser::onLine()
{
    switch (m_state) {
    case State::Head:
        onHeadLine();
        break;
    case State::ChunkSize:
        onChunkSize();
        break;
    case State::ChunkEnd:
        m_line.empty() ? void(m_state = State::ChunkSize) : fail("a chunk exceeds its declared size");
        break;
    case State::Trailer:
        if (m_line.empty()) {
            finish();
        }
        break;
    default:
        break;
    }
}

void ResponseParser::onHeadLine()
{
    if (m_hasStatus) {
        m_line.empty() ? onHeadEnd() : onField(m_line);
        return;
    }
    std::uint64_t status = 0;
    if (m_line.size() < 12 || m_line.compare(0, 7, "HTTP/1.") != 0 || m_line[8] != ' '
        || !parseDigits(m_line.substr(9, 3), 10, status) || status < 100
        || (m_line.size() > 12 && m_line[12] != ' ')) {
        fail("the status line is malformed");
        return;
    }
    m_hasStatus = true;
    m_response.status = static_cast<int>(status);
    m_response.reason = m_line.size() > 13 ? m_line.substr(13) : "";
    m_keepsAlive = m_line[7] != '0';
}

void ResponseParser::onField(const std::string& line)
{
    const auto colon = line.find(':');
    if (colon == std::string::npos || colon == 0 || line[0] == ' ' || line[0] == '\t'
        || line.find('\r') != std::string::npos) {
        fail("a header field is malformed");
        return;
    }
    m_response.fields.emplace_back(line.substr(0, colon), Poco::trim(line.substr(colon + 1)));
    if (Poco::icompare(m_response.fields.back().first, "Connection") == 0
        && Poco::toLower(m_response.fields.back().second).find("close") != std::string::npos) {
        m_keepsAlive = false;
    }
}

bool ResponseParser::readLengthFields(bool& isChunked)
{
    for (const auto& field : m_response.fields) {
        if (Poco::icompare(field.first, "Transfer-Encoding") == 0) {
            if (isChunked || Poco::icompare(field.second, "chunked") != 0) {
                return false;
            }
            isChunked = true;
        } else if (Poco::icompare(field.first, "Content-Length") == 0) {
            std::uint64_t length = 0;
            if (!parseDigits(field.second, 10, length)
                || (m_contentLength >= 0 && m_contentLength != static_cast<std::int64_t>(length))) {
                return false;
            }
            m_contentLength = static_cast<std::int64_t>(length);
        }
    }
    return !(isChunked && m_contentLength >= 0);
}

void ResponseParser::onHeadEnd()
{
    if (m_response.status < 200) {
        if (m_response.status == 101) {
            fail("the runner switched protocols");
            return;
        }
        m_response = RunnerResponse();
        m_hasStatus = false;
        return;
    }
    bool isChunked = false;
    if (!readLengthFields(isChunked)) {
        fail("Content-Length and Transfer-Encoding are invalid or contradict each other");
        return;
    }
    m_progress = Progress::Body;
    if (m_isHeadRequest || m_response.status == 204 || m_response.status == 304 || m_contentLength == 0) {
        finish();
    } else if (isChunked) {
        m_state = State::ChunkSize;
    } else if (m_contentLength > 0) {
        m_state = State::Fixed;
        m_bytesRemaining = static_cast<std::uint64_t>(m_contentLength);
    } else {
        fail("the response has neither Content-Length nor chunked coding, so its end can't be verified");
    }
}

void ResponseParser::onChunkSize()
{
    m_headBytes = 0;
    const auto size = Poco::trim(m_line.substr(0, m_line.find(';')));
    if (!parseDigits(size, 16, m_bytesRemaining)) {
        fail("a chunk size is malformed");
    } else {
        m_state = m_bytesRemaining == 0 ? State::Trailer : State::ChunkData;
    }
}

void ResponseParser::finish()
{
    m_state = State::End;
    m_progress = Progress::Complete;
}

void ResponseParser::fail(const std::string& error)
{
    m_error = error;
    m_progress = Progress::Broken;
    m_keepsAlive = false;
}

} // namespace celeryline
