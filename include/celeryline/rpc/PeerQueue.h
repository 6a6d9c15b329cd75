/// @file
/// The bounded queue of messages to one peer.
#pragma once

#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/registry/Heartbeat.h"
#include "celeryline/registry/RegistryDelta.h"

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <variant>

namespace celeryline::detail {

/// A message that needs no answer.
using PeerMessage = std::variant<RaftMessage, RegistryDelta, Heartbeat>;

/// A queued message.
struct QueuedMessage {
    PeerMessage message;
    std::size_t bytes = 0; ///< About.
    std::chrono::steady_clock::time_point queued;
};

/// The bounded queue of messages to one peer. Thread-safe.
class PeerQueue {
public:
    /// @param maxMessages most queued messages.
    /// @param maxBytes most queued bytes; a single message may be larger.
    PeerQueue(std::size_t maxMessages, std::size_t maxBytes);

    /// Queues a message. A heartbeat replaces the queued one. If the queue is full, the oldest consensus
    /// message is dropped, which consensus tolerates; without one, the oldest message.
    /// @param message to be sent.
    /// @return whether the queue was empty.
    bool push(PeerMessage message);

    /// @param notBefore older messages are dropped.
    /// @return the oldest message; nothing if there is none.
    std::optional<QueuedMessage> pop(std::chrono::steady_clock::time_point notBefore);

    /// @return whether there is no message.
    bool isEmpty() const;

private:
    using Iterator = std::deque<QueuedMessage>::iterator;
    void erase(const Iterator& position);

    const std::size_t m_maxMessages;
    const std::size_t m_maxBytes;
    mutable std::mutex m_mutex;
    std::deque<QueuedMessage> m_messages;
    std::size_t m_bytes = 0;
};

} // namespace celeryline::detail
