/// @file
/// Categories of errors.
#pragma once

namespace celeryline {

/// Categories of errors, distinguished by how the receiver should react.
enum class ErrorKind {
    InvalidSettings, ///< A settings file is invalid; edit it.
    InvalidInput, ///< A request, file or command line is invalid; correct it.
    NotFound, ///< The named object does not exist.
    Conflict, ///< A concurrent change was applied first; reread the state and retry.
    Unavailable, ///< The operation had no effect; try again later.
    TimedOut, ///< The outcome is unknown; retrying with the same command id is safe.
    LimitExceeded, ///< A configured limit was reached.
    Refused, ///< The token is missing or invalid.
    Storage, ///< A file operation failed; check the disk.
    Corrupt ///< Stored data is damaged; restore it.
};

/// @param kind an error kind.
/// @return its name in lower case with hyphens, as used in JSON error bodies and logs.
constexpr const char* errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidSettings:
        return "invalid-settings";
    case ErrorKind::InvalidInput:
        return "invalid-input";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::TimedOut:
        return "timed-out";
    case ErrorKind::LimitExceeded:
        return "limit-exceeded";
    case ErrorKind::Refused:
        return "refused";
    case ErrorKind::Storage:
        return "storage";
    case ErrorKind::Corrupt:
        return "corrupt";
    }
    return "internal";
}

} // namespace celeryline
