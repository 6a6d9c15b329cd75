#include "celeryline/http/RoleGuard.h"

#include "celeryline/base/Error.h"
#include "celeryline/http/HttpErrors.h"

#include <Poco/String.h>

#include <fstream>
#include <sstream>

namespace celeryline {

using Poco::Net::HTTPResponse;

namespace {

constexpr std::size_t minTokenLength = 16;

std::string bearerToken(const Poco::Net::HTTPServerRequest& request)
{
    static const std::string scheme = "Bearer ";
    std::string header = request.get("Authorization", "");
    return header.compare(0, scheme.size(), scheme) == 0 ? header.substr(scheme.size()) : "";
}

} // namespace

bool tokensAreEqual(const std::string& expected, const std::string& presented)
{
    unsigned difference = expected.size() == presented.size() ? 0 : 1;
    for (std::size_t i = 0; i < presented.size(); ++i) {
        char other = expected.empty() ? '\0' : expected[i % expected.size()];
        difference |= static_cast<unsigned char>(presented[i] ^ other);
    }
    return difference == 0;
}

std::string readToken(const std::string& path)
{
    if (path.empty()) {
        return "";
    }
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    std::string token = Poco::trim(text.str());
    if (!file || token.size() < minTokenLength) {
        throw Error(ErrorKind::InvalidSettings, "token file \"" + path + "\" can't be read or is too short",
            "write at least " + std::to_string(minTokenLength) + " characters into it");
    }
    return token;
}

RoleGuard::RoleGuard(std::string role, std::string token, HttpEndpoint& endpoint)
    : m_role(std::move(role))
    , m_token(std::move(token))
    , m_endpoint(endpoint)
{
}

void RoleGuard::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (m_token.empty()) {
        m_endpoint.handle(request, response);
        return;
    }
    std::string presented = bearerToken(request);
    if (tokensAreEqual(m_token, presented)) {
        m_endpoint.handle(request, response);
        return;
    }
    response.set("Celeryline-Outcome", "not-run");
    // On a reused connection, the unread body would be parsed as the next request.
    response.setKeepAlive(false);
    response.set("WWW-Authenticate", "Bearer");
    std::string remedy = "send the " + m_role + " token as \\\"Authorization: Bearer TOKEN\\\"";
    auto status = presented.empty() ? HTTPResponse::HTTP_UNAUTHORIZED : HTTPResponse::HTTP_FORBIDDEN;
    sendJson(response,
        R"({"error":"refused","message":"the )" + m_role + " token is missing or wrong; " + remedy + "\"}",
        status);
}

} // namespace celeryline
