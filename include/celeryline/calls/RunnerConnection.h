/// @file
/// One connection to a runner.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/Exchange.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>

namespace celeryline {

class ResponseParser;

/// One connection to a runner. It carries one exchange at a time.
class RunnerConnection {
public:
    /// Connects.
    /// @param address "IP:port".
    /// @param timeout longest wait.
    /// @param clock measures deadlines.
    /// @throws Poco::Exception if the connection can't be made.
    RunnerConnection(const std::string& address, Millis timeout, const Clock& clock);

    /// @return whether nothing has arrived since the last answer. Bytes or an end of the stream that arrive
    /// between exchanges make the connection unusable.
    bool hasNoPendingInput() const;

    /// Sends a request and receives its answer.
    /// @param exchange what to send.
    /// @param maxHeldBytes larger answers go to the exchange's sink.
    /// @return how it ended.
    ExchangeResult run(const Exchange& exchange, std::size_t maxBufferedBytes);

    /// @return whether another exchange may follow.
    bool isReusable() const { return m_isReusable; }

    Millis lastUsed; ///< When the last exchange ended; kept by the pool.

private:
    enum class Wait { Ready, EarlyInput, TimedOut };

    bool send(const Exchange& exchange, ExchangeResult& result);
    bool receive(
        const Exchange& exchange, std::size_t maxBufferedBytes, ResponseParser& parser, ExchangeResult&);
    bool processInput(
        const Exchange& exchange, std::size_t maxBufferedBytes, ResponseParser& parser, ExchangeResult&);
    Wait waitFor(short events, Millis until) const;

    Poco::Net::StreamSocket m_socket;
    const Clock& m_clock;
    int m_fd;
    bool m_isReusable = false;
};

} // namespace celeryline
