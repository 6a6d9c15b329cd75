/// @file
/// A request that is answered without being run.
#pragma once

#include <stdexcept>
#include <string>

namespace celeryline {

/// A request that is answered with a status of its own and was certainly not run.
class CallRefused : public std::runtime_error {
public:
    /// @param status HTTP status code.
    /// @param message what is wrong and what to do about it.
    CallRefused(int status, const std::string& message)
        : std::runtime_error(message)
        , m_status(status)
    {
    }

    /// @return the HTTP status code.
    int status() const { return m_status; }

private:
    int m_status;
};

} // namespace celeryline
