/// @file
/// An HTTP connection to a runner.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/Exchange.h"

#include <Poco/Net/StreamSocket.h>

#include <cstddef>

namespace celeryline {

class ResponseParser;

/// An HTTP connection to a runner that carries one exchange at a time.
class RunnerConnection {
public:
    /// @param address "IP:port".
    /// @param timeout time limit for connecting.
    /// @param clock clock of the deadlines.
    /// @throws Poco::Exception if the connection fails.
    RunnerConnection(const std::string& address, Millis timeout, const Clock& clock);

    /// @return whether nothing was received since the last response. Bytes or an end of stream between
    /// exchanges make the connection unusable.
    bool hasNoPendingInput() const;

    /// Sends a request and receives its response.
    /// @param exchange what to send.
    /// @param maxBufferedBytes larger responses are streamed to the exchange's sink.
    /// @return the result.
    ExchangeResult run(const Exchange& exchange, std::size_t maxBufferedBytes);

    /// @return whether the connection may carry another exchange.
    bool isReusable() const { return m_isReusable; }

    Millis lastUsed; ///< When the last exchange ended; maintained by the pool.

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
