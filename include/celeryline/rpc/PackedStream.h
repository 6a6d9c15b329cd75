/// @file
/// Message stream in Cap'n Proto's packed encoding.
#pragma once

#include <capnp/serialize-async.h>
#include <kj/async-io.h>

#include <functional>

namespace celeryline::detail {

/// Sends each message in packed encoding, prefixed with its length. Small messages consist mostly of zero
/// words; unpacked, the heartbeats of the consensus leader alone would exceed the bandwidth limit of a node.
class PackedStream final : public capnp::MessageStream {
public:
    /// @param stream underlying connection; must outlive this object.
    /// @param onReceived called for each message that was received.
    explicit PackedStream(
        kj::AsyncIoStream& stream, std::function<void()> onReceived = [] {});

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
        capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override { return nullptr; }
    kj::Promise<void> end() override;

private:
    kj::AsyncIoStream& m_stream;
    std::function<void()> m_onReceived;
};

} // namespace celeryline::detail
