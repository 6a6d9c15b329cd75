/// @file
/// One entry instance: owns and connects the modules of a process.
#pragma once

#include "celeryline/settings/Settings.h"

#include <memory>

namespace celeryline {

/// One entry instance: owns and connects the modules of a process.
class EntryInstance {
public:
    /// @param settings checked settings.
    explicit EntryInstance(const Settings& settings);
    ~EntryInstance();

    /// Opens the data folder and begins to serve.
    /// @throws Error if an address is in use or the data folder can't be read.
    void start();

    /// Shuts down gracefully: not ready, open requests end, state is synced.
    void stop();

private:
    struct Modules;
    std::unique_ptr<Modules> m_modules;
};

} // namespace celeryline
