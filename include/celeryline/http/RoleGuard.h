/// @file
/// Bearer token authorization for HTTP endpoints.
#pragma once

#include "celeryline/http/HttpEndpoint.h"

#include <string>

namespace celeryline {

/// Compares two tokens in time that depends only on the length of the presented one, so that response times
/// reveal nothing about the expected token.
/// @param expected the valid token.
/// @param presented the token from the request.
/// @return whether the tokens are equal.
bool tokensAreEqual(const std::string& expected, const std::string& presented);

/// Reads a token file.
/// @param path path of the file; an empty path returns an empty token.
/// @return the content without leading and trailing whitespace.
/// @throws Error of kind InvalidSettings if the file can't be read or has fewer than 16 characters.
std::string readToken(const std::string& path);

/// Forwards requests to an endpoint only if they carry the role's token (`Authorization: Bearer TOKEN`).
///
/// Example: `RoleGuard guarded("operator", readToken(file), operatorApi); server.route("/v1", guarded);`
class RoleGuard final : public HttpEndpoint {
public:
    /// @param role role name used in error messages.
    /// @param token the expected token; an empty token disables the check.
    /// @param endpoint handles authorized requests; must outlive this object.
    RoleGuard(std::string role, std::string token, HttpEndpoint& endpoint);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    std::string m_role;
    std::string m_token;
    HttpEndpoint& m_endpoint;
};

} // namespace celeryline
