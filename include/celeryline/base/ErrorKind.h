/// @file
/// The kinds of errors that callers of a function can tell apart.
#pragma once

namespace celeryline {

/// What went wrong, as far as it decides what the receiver should do.
enum class ErrorKind {
    InvalidSettings, ///< A settings file is wrong; edit it.
    InvalidInput, ///< A request, file or command line is wrong; correct it.
    NotFound, ///< The named object does not exist.
    Conflict, ///< Another change won; read the new state and decide again.
    Unavailable, ///< Nothing was done; try again later.
    TimedOut, ///< The result is not known; the same command id may be sent again.
    LimitExceeded, ///< A configured limit was reached.
    Refused, ///< The token is missing or wrong.
    Storage, ///< A file operation failed; check the disk.
    Corrupt ///< Stored data is damaged; restore it.
};

/// @param kind the kind to name.
/// @return the kind's name in lower case with hyphens, as used in JSON error bodies and logs.
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
