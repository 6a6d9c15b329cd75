#include "celeryline/rpc/PeerQueue.h"

#include <algorithm>

namespace celeryline::detail {

namespace {

constexpr std::size_t fixedFieldBytes = 128; // Estimated size of a message's fixed fields.

std::size_t sizeOf(const RaftMessage& message)
{
    std::size_t bytes = fixedFieldBytes + message.snapshotChunk.size();
    for (const auto& entry : message.entries) {
        bytes += fixedFieldBytes + entry.payload.size();
    }
    return bytes;
}

std::size_t sizeOf(const RegistryDelta& delta)
{
    return fixedFieldBytes + delta.changes.size() * 2 * fixedFieldBytes;
}

std::size_t sizeOf(const Heartbeat&) { return fixedFieldBytes; }

template <typename T> bool holds(const QueuedMessage& queued)
{
    return std::holds_alternative<T>(queued.message);
}

} // namespace

PeerQueue::PeerQueue(std::size_t maxMessages, std::size_t maxBytes)
    : m_maxMessages(maxMessages)
    , m_maxBytes(maxBytes)
{
}

bool PeerQueue::push(PeerMessage message)
{
    std::size_t bytes = std::visit([](const auto& m) { return sizeOf(m); }, message);
    std::lock_guard<std::mutex> lock(m_mutex);
    bool wasEmpty = m_messages.empty();
    if (std::holds_alternative<Heartbeat>(message)) {
        auto previous = std::find_if(m_messages.begin(), m_messages.end(), holds<Heartbeat>);
        if (previous != m_messages.end()) {
            erase(previous);
        }
    }
    m_messages.push_back({ std::move(message), bytes, std::chrono::steady_clock::now() });
    m_bytes += bytes;
    while (m_messages.size() > 1 && (m_messages.size() > m_maxMessages || m_bytes > m_maxBytes)) {
        auto oldest = std::find_if(m_messages.begin(), m_messages.end(), holds<RaftMessage>);
        erase(oldest == m_messages.end() ? m_messages.begin() : oldest);
    }
    return wasEmpty;
}

std::optional<QueuedMessage> PeerQueue::pop(std::chrono::steady_clock::time_point notBefore)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    while (!m_messages.empty() && m_messages.front().queuedAt < notBefore) {
        erase(m_messages.begin());
    }
    if (m_messages.empty()) {
        return std::nullopt;
    }
    auto message = std::move(m_messages.front());
    erase(m_messages.begin());
    return message;
}

bool PeerQueue::isEmpty() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_messages.empty();
}

void PeerQueue::erase(const Iterator& position)
{
    m_bytes -= position->bytes;
    m_messages.erase(position);
}

} // namespace celeryline::detail
