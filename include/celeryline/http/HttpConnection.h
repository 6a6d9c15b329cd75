/// @file
/// Server side of one HTTP connection.
#pragma once

#include "celeryline/http/HttpServerState.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include <list>
#include <memory>

namespace celeryline {

/// Serves the requests of one connection in order. Unlike Poco::Net::HTTPServerConnection, it limits the
/// total time to receive a header, answers malformed and oversized headers with a JSON error, and closes
/// draining connections only between requests.
class HttpConnection final : public Poco::Net::TCPServerConnection {
public:
    /// @param socket the accepted connection.
    /// @param state state shared with the listener.
    HttpConnection(const Poco::Net::StreamSocket& socket, std::shared_ptr<HttpServerState> state);
    ~HttpConnection() override;

    void run() override;

private:
    bool serveRequest(Poco::Net::HTTPServerSession& session);
    void rejectMalformedHeader(const std::string& reason);

    std::shared_ptr<HttpServerState> m_state;
    Poco::Net::HTTPServerParams::Ptr m_params;
    std::list<TrackedConnection>::iterator m_trackedConnection;
};

} // namespace celeryline
