/// @file
/// Exception for requests that are refused before they are run.
#pragma once

#include <stdexcept>
#include <string>

namespace celeryline {

/// Thrown when a request is refused with an HTTP status; the request was not run.
class CallRefused : public std::runtime_error {
public:
    /// @param status HTTP status code.
    /// @param message the cause and the remedy.
    CallRefused(int status, const std::string& message)
        : std::runtime_error(message)
        , m_status(status)
    {
    }

    int status() const { return m_status; }

private:
    int m_status;
};

} // namespace celeryline
