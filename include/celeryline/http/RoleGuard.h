/// @file
/// Token checks in front of endpoints.
#pragma once

#include "celeryline/http/HttpEndpoint.h"

#include <string>

namespace celeryline {

/// Compares in a time that depends only on the length of the presented token, so that a response time tells
/// nothing about the expected one.
/// @param expected the right token.
/// @param presented what was sent.
/// @return whether they are equal.
bool tokensAreEqual(const std::string& expected, const std::string& presented);

/// Reads a token file.
/// @param path the file; empty gives an empty token.
/// @return its content without surrounding white space.
/// @throws Error of kind InvalidSettings if the file can't be read or holds less than 16 characters.
std::string readToken(const std::string& path);

/// Lets requests through to an endpoint only with the token of a role (`Authorization: Bearer TOKEN`).
///
/// Example: `RoleGuard guarded("operator", readToken(file), operatorApi); server.route("/v1", guarded);`
class RoleGuard final : public HttpEndpoint {
public:
    /// @param role name for messages.
    /// @param token the expected token; empty lets everyone through.
    /// @param endpoint serves the permitted requests.
    RoleGuard(std::string role, std::string token, HttpEndpoint& endpoint);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    std::string m_role;
    std::string m_token;
    HttpEndpoint& m_endpoint;
};

} // namespace celeryline
