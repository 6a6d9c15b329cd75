/// @file
/// Limit on requests whose credential the leader hasn't accepted yet.
#pragma once

#include "celeryline/base/Millis.h"

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace celeryline {

/// Capacities of a CredentialGate.
struct CredentialGateOptions {
    /// Tokens per second. Each response 401 costs one, so this bounds what invalid keys cost the leader in
    /// the long run: 16 entry processes cause 800 such responses per second at most.
    double refillPerSecond = 50;
    /// Tokens in a full bucket: the credentials that may be in flight before the leader has accepted them. At
    /// a start these are the keys times the queues that each is used for; 20 customers with two keys and
    /// twelve queues need 480.
    double capacity = 512;
    /// Requests in flight that may share the token of one credential. 4,000 callers that begin at the same
    /// moment with 40 keys on one queue need 40 + 4,000 / 16 = 290 tokens at most instead of 4,000.
    std::uint32_t requestsPerToken = 16;
    /// Time after a response 401 for which tokens are needed. Where the configuration has no customers there
    /// are no such responses, and nothing is refused. In this time an empty bucket fills three times.
    Millis activeTime { 60000 };
    /// Limit on remembered keys, each counted once for each queue; 3.2 MB of memory.
    std::size_t maxKeys = 32768;
    /// Limit on remembered queues that can be used without a key.
    std::size_t maxQueues = 4096;
};

/// Decides in an entry process which requests are forwarded to the leader, so that clients with invalid keys
/// can't occupy it. A request with a credential that the leader has accepted is always forwarded. While the
/// leader rejects some credentials, any other request needs a token, which it gives back unless the response
/// is 401. The gate never decides whether a credential is valid: a forwarded request may be rejected by the
/// leader, and a refused one may be repeated.
///
/// The credential of a request is its key together with its queue, because a public queue accepts any key. A
/// request without a key has its queue as the credential. Credentials are held as digests with a secret of
/// the process.
///
/// Example: `if (auto ticket = gate.admit(key, queue, now)) { ... gate.settle(*ticket, outcome, now); }`
class CredentialGate {
public:
    using Credential = std::array<std::uint64_t, 2>;

    /// A forwarded request. Each must be settled exactly once.
    struct Ticket {
        Credential credential; ///< Of the key and the queue; of the queue alone without a key.
        Credential queue; ///< Of the queue alone.
        bool hasKey = false;
        bool isKnown = false; ///< Whether the leader had accepted the credential before.
        bool sharesToken = false;
    };

    /// How a request ended, as far as it concerns its credential.
    enum class Outcome : std::uint8_t {
        Accepted, ///< The leader has executed it or refused it for another reason than its credential.
        Rejected, ///< The leader answered 401.
        Abandoned, ///< The caller left before the response. Counts as rejected, which it may have been.
        Unknown ///< The response tells nothing about the credential, or there was none.
    };

    /// @param secret random bytes of this process.
    explicit CredentialGate(std::string secret, const CredentialGateOptions& options = {});

    /// @param key the caller's key; empty for none.
    /// @param queue host and the queue's part of the path.
    /// @param now monotonic time.
    /// @return a ticket if the request may be forwarded.
    std::optional<Ticket> admit(std::string_view key, std::string_view queue, Millis now);

    /// Records how a forwarded request ended.
    void settle(const Ticket& ticket, Outcome outcome, Millis now);

    /// @return the time until a token is available.
    Millis timeToToken(Millis now) const;

    /// @return the available tokens; negative if more requests were rejected than there were tokens.
    double tokens() const { return m_tokens; }
    std::size_t rememberedKeys() const { return m_keys.size(); }
    std::size_t rememberedQueues() const { return m_queues.size(); }

private:
    struct CredentialHash {
        std::size_t operator()(const Credential& credential) const { return credential[0]; }
    };

    /// Bounded set of credentials; the one that was used least recently makes room.
    class Memory {
    public:
        explicit Memory(std::size_t capacity)
            : m_capacity(capacity)
        {
        }

        /// @return whether the credential is known. Marks it as used.
        bool use(const Credential& credential);
        void add(const Credential& credential);
        void remove(const Credential& credential);
        bool contains(const Credential& credential) const { return m_index.count(credential) != 0; }
        std::size_t size() const { return m_index.size(); }

    private:
        std::size_t m_capacity;
        std::list<Credential> m_order; ///< Most recently used first.
        std::unordered_map<Credential, std::list<Credential>::iterator, CredentialHash> m_index;
    };

    /// Requests in flight with one unknown credential, and the tokens that they hold.
    struct InFlight {
        std::uint32_t requests = 0;
        std::uint32_t tokens = 0;
        bool isRejected = false; ///< Whether one was rejected; then further requests need a token each.
    };

    Credential digestOf(std::string_view key, std::string_view queue) const;
    bool isKnown(const Ticket& ticket);
    bool isActive(Millis now) const;
    bool shareToken(const Credential& credential);
    void releaseToken(const Credential& credential, Outcome outcome);
    void remember(const Ticket& ticket);
    void refill(Millis now);

    std::string m_secret;
    CredentialGateOptions m_options;
    Memory m_keys;
    Memory m_queues; ///< Queues that requests without a key may use.
    std::unordered_map<Credential, InFlight, CredentialHash> m_inFlight;
    double m_tokens;
    Millis m_lastRefill;
    std::optional<Millis> m_lastRejection;
};

} // namespace celeryline
