/// @file
/// Bounded queue of outgoing messages to one peer.
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

/// A message that has no result.
using PeerMessage = std::variant<RaftMessage, RegistryDelta, Heartbeat>;

struct QueuedMessage {
    PeerMessage message;
    std::size_t bytes = 0; ///< Estimated size.
    std::chrono::steady_clock::time_point queuedAt;
};

/// Bounded queue of outgoing messages to one peer. Thread-safe.
class PeerQueue {
public:
    /// @param maxMessages limit of queued messages.
    /// @param maxBytes limit of queued bytes; a single message may exceed it.
    PeerQueue(std::size_t maxMessages, std::size_t maxBytes);

    /// Queues a message. A heartbeat replaces a queued heartbeat. If the queue is full, the oldest consensus
    /// message is dropped, since consensus tolerates message loss; if there is none, the oldest message.
    /// @return whether the queue was empty before.
    bool push(PeerMessage message);

    /// Removes the oldest message.
    /// @param notBefore messages queued earlier are dropped.
    /// @return the message; std::nullopt if the queue is empty.
    std::optional<QueuedMessage> pop(std::chrono::steady_clock::time_point notBefore);

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
