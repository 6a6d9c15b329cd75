#include "celeryline/http/RoleGuard.h"

#include "celeryline/http/HttpErrors.h"
#include "celeryline/http/HttpServer.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

class CountingEndpoint final : public HttpEndpoint {
public:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response) override
    {
        ++calls;
        sendJson(response, "{}");
    }

    int calls = 0;
};

int requestStatus(std::uint16_t port, const std::string& authorization)
{
    Poco::Net::HTTPClientSession session("127.0.0.1", port);
    Poco::Net::HTTPRequest request("GET", "/v1/x", "HTTP/1.1");
    if (!authorization.empty()) {
        request.set("Authorization", authorization);
    }
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    return response.getStatus();
}

} // namespace

TEST_CASE("A request without the role's token does not reach the endpoint", "[security]")
{
    CountingEndpoint endpoint;
    RoleGuard guard("operator", "0123456789abcdef", endpoint);
    LimitSettings limits;
    limits.maxConnections = 8;
    limits.receiveTimeout = limits.keepAliveTimeout = Millis { 1000 };
    HttpServer server("127.0.0.1:0", limits);
    server.route("/v1", guard);
    server.start();
    CHECK(requestStatus(server.port(), "") == 401);
    CHECK(requestStatus(server.port(), "Bearer 0123456789abcdeg") == 403);
    CHECK(requestStatus(server.port(), "Bearer 0123456789abcdef0123456789abcdef") == 403);
    CHECK(endpoint.calls == 0);
    CHECK(requestStatus(server.port(), "Bearer 0123456789abcdef") == 200);
    CHECK(endpoint.calls == 1);
}
