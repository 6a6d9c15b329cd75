/// @file
/// The exception type of celeryline.
#pragma once

#include "celeryline/base/ErrorKind.h"

#include <stdexcept>
#include <string>

namespace celeryline {

/// An error with a kind, a description and a suggested remedy.
///
/// Example: `throw Error(ErrorKind::NotFound, "pool \"x\" does not exist", "list pools with: celeryline get
/// pools");`
class Error : public std::runtime_error {
public:
    /// @param kind category of the error, for handling it programmatically.
    /// @param what description of the error, with the names and values involved.
    /// @param remedy what the user can do about it.
    Error(ErrorKind kind, const std::string& what, const std::string& remedy)
        : std::runtime_error(what + "; " + remedy)
        , m_kind(kind)
    {
    }

    /// @return the kind of this error.
    ErrorKind kind() const { return m_kind; }

private:
    ErrorKind m_kind;
};

} // namespace celeryline
