/// @file
/// Serves the requests of one caller's connection.
#pragma once

#include "celeryline/http/HttpServerState.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/TCPServerConnection.h>

#include <list>
#include <memory>

namespace celeryline {

/// Serves the requests of one connection in order. Differs from Poco's own HTTP connection in that a header
/// has a total time limit, malformed and too long headers are answered with a JSON error, and draining closes
/// a connection only between requests.
class HttpConnection final : public Poco::Net::TCPServerConnection {
public:
    /// @param socket the accepted connection.
    /// @param state shared with the listener.
    HttpConnection(const Poco::Net::StreamSocket& socket, std::shared_ptr<HttpServerState> state);
    ~HttpConnection() override;

    void run() override;

private:
    bool serveOne(Poco::Net::HTTPServerSession& session);
    void answerMalformed(const std::string& reason);

    std::shared_ptr<HttpServerState> m_state;
    Poco::Net::HTTPServerParams::Ptr m_params;
    std::list<WatchedConnection>::iterator m_watched;
};

} // namespace celeryline
