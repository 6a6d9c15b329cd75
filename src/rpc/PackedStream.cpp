#include "celeryline/rpc/PackedStream.h"

#include <capnp/serialize-packed.h>

#include <array>
#include <cstdint>
#include <utility>

namespace celeryline::detail {

using capnp::MessageReaderAndFds;
using capnp::word;
using Segments = kj::ArrayPtr<const kj::ArrayPtr<const word>>;

namespace {

constexpr std::size_t headerSize = 4;
constexpr std::size_t maxPackedSize = 67108864; // Cap'n Proto's default limit for a message.

void appendPacked(kj::Vector<kj::byte>& buffer, Segments segments)
{
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(static_cast<kj::BufferedOutputStream&>(packed), segments);
    auto bytes = packed.getArray();
    for (std::size_t i = 0; i < headerSize; ++i) {
        buffer.add(static_cast<kj::byte>(bytes.size() >> (8 * i)));
    }
    buffer.addAll(bytes);
}

std::size_t readSize(const kj::Array<kj::byte>& header)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < headerSize; ++i) {
        size |= static_cast<std::size_t>(header[i]) << (8 * i);
    }
    return size;
}

} // namespace

PackedStream::PackedStream(kj::AsyncIoStream& stream, std::function<void()> onReceived)
    : m_stream(stream)
    , m_onReceived(std::move(onReceived))
{
}

kj::Promise<kj::Maybe<MessageReaderAndFds>> PackedStream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd>, capnp::ReaderOptions options, kj::ArrayPtr<word>)
{
    auto header = kj::heapArray<kj::byte>(headerSize);
    auto headerRead = m_stream.tryRead(header.begin(), headerSize, headerSize);
    return headerRead.then([this, options, header = kj::mv(header)](
                               std::size_t count) mutable -> kj::Promise<kj::Maybe<MessageReaderAndFds>> {
        if (count < headerSize) {
            return kj::Maybe<MessageReaderAndFds>(nullptr);
        }
        auto size = readSize(header);
        if (size > maxPackedSize) {
            return KJ_EXCEPTION(FAILED, "a peer sent a message that is too large", size);
        }
        auto bytes = kj::heapArray<kj::byte>(size);
        auto bytesRead = m_stream.read(bytes.begin(), size);
        return bytesRead.then(
            [this, options, bytes = kj::mv(bytes)]() mutable -> kj::Maybe<MessageReaderAndFds> {
                m_onReceived();
                auto input = kj::heap<kj::ArrayInputStream>(bytes);
                auto reader = kj::heap<capnp::PackedMessageReader>(*input, options);
                kj::Own<capnp::MessageReader> owner = reader.attach(kj::mv(input), kj::mv(bytes));
                return MessageReaderAndFds { kj::mv(owner), nullptr };
            });
    });
}

kj::Promise<void> PackedStream::writeMessage(kj::ArrayPtr<const int>, Segments segments)
{
    kj::Vector<kj::byte> buffer;
    appendPacked(buffer, segments);
    auto bytes = buffer.releaseAsArray();
    auto written = m_stream.write(bytes.begin(), bytes.size());
    return written.attach(kj::mv(bytes));
}

kj::Promise<void> PackedStream::writeMessages(kj::ArrayPtr<Segments> messages)
{
    kj::Vector<kj::byte> buffer;
    for (auto& segments : messages) {
        appendPacked(buffer, segments);
    }
    auto bytes = buffer.releaseAsArray();
    auto written = m_stream.write(bytes.begin(), bytes.size());
    return written.attach(kj::mv(bytes));
}

kj::Promise<void> PackedStream::end()
{
    m_stream.shutdownWrite();
    return kj::READY_NOW;
}

} // namespace celeryline::detail
