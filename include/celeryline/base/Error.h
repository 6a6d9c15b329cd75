/// @file
/// The exception that all of celeryline throws.
#pragma once

#include "celeryline/base/ErrorKind.h"

#include <stdexcept>
#include <string>

namespace celeryline {

/// An error with a kind and a message that says what to do about it.
///
/// Example: `throw Error(ErrorKind::NotFound, "pool \"x\" does not exist", "list pools with: celeryline get
/// pools");`
class Error : public std::runtime_error {
public:
    /// @param kind what the receiver can tell apart.
    /// @param what what happened, with the names and values involved.
    /// @param remedy what to do about it.
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
