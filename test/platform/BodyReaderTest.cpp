#include "platform/BodyReader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstring>

using namespace celeryline::platform;

namespace {

constexpr std::size_t limit = 5000;

/// A body that arrives in pieces.
class Pieces final : public kj::AsyncInputStream {
public:
    Pieces(std::string text, std::size_t piece, bool hasLength)
        : m_text(std::move(text))
        , m_piece(piece)
        , m_hasLength(hasLength)
    {
    }

    kj::Promise<size_t> tryRead(void* buffer, size_t, size_t maxBytes) override
    {
        auto size = std::min({ m_piece, maxBytes, m_text.size() - m_read });
        std::memcpy(buffer, m_text.data() + m_read, size);
        m_read += size;
        return size;
    }

    kj::Maybe<uint64_t> tryGetLength() override
    {
        if (!m_hasLength)
            return nullptr;
        return m_text.size() - m_read;
    }

    std::size_t readBytes() const { return m_read; }

private:
    std::string m_text;
    std::size_t m_piece;
    bool m_hasLength;
    std::size_t m_read = 0;
};

struct Reading {
    std::size_t reserved = 0;
    ReceivedBody received;
};

/// Reads a body with a number of bytes that can be reserved.
Reading readFrom(kj::AsyncInputStream& body, std::size_t available = 1 << 20)
{
    auto io = kj::setupAsyncIo();
    Reading reading;
    auto reserve = [&reading, available](std::size_t bytes) {
        if (reading.reserved + bytes > available)
            return false;
        reading.reserved += bytes;
        return true;
    };
    reading.received = readBody(body, limit, reserve).wait(io.waitScope);
    return reading;
}

} // namespace

TEST_CASE("A body within the limit is read to its end", "[platform][limits]")
{
    for (std::size_t size :
        { std::size_t { 0 }, std::size_t { 1 }, std::size_t { 1024 }, limit - 1, limit }) {
        for (std::size_t piece : { 1, 700, 100000 }) {
            for (bool hasLength : { true, false }) {
                INFO(size << " " << piece << " " << hasLength);
                std::string text(size, 'x');
                Pieces body(text, piece, hasLength);
                auto reading = readFrom(body);
                CHECK(reading.received.outcome == BodyOutcome::Complete);
                CHECK(reading.received.text == text);
                CHECK(reading.reserved >= size);
                CHECK(reading.reserved <= std::max<std::size_t>(1024, 2 * size));
            }
        }
    }
}

// Guards against a body that is read although its announced length exceeds the limit, and against one that is
// read without a limit because it announces none.
TEST_CASE("A body beyond the limit is refused", "[platform][limits]")
{
    Pieces announced(std::string(limit + 1, 'x'), 100, true);
    auto refused = readFrom(announced);
    CHECK(refused.received.outcome == BodyOutcome::TooLarge);
    CHECK(announced.readBytes() == 0);
    Pieces chunked(std::string(100 * limit, 'x'), 100, false);
    auto cut = readFrom(chunked);
    CHECK(cut.received.outcome == BodyOutcome::TooLarge);
    CHECK(cut.received.text.empty());
    CHECK(chunked.readBytes() <= limit + 1);
}

// Guards against memory that is allocated before it is reserved.
TEST_CASE("A body is given up when no memory can be reserved for it", "[platform][limits]")
{
    Pieces body(std::string(limit, 'x'), 100, true);
    auto reading = readFrom(body, 3000);
    CHECK(reading.received.outcome == BodyOutcome::NoMemory);
    CHECK(body.readBytes() <= 3000);
}
