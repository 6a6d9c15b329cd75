/// @file
/// The composition root of an entry instance.
#pragma once

#include "celeryline/settings/Settings.h"

#include <memory>

namespace celeryline {

/// An entry instance: owns and connects the modules of the process.
class EntryInstance {
public:
    /// @param settings validated settings.
    explicit EntryInstance(const Settings& settings);
    ~EntryInstance();

    /// Opens the data directory and starts serving.
    /// @throws Error if an address is in use or the data directory can't be read.
    void start();

    /// Shuts down gracefully: reports not ready, completes open requests and syncs the state to disk.
    void stop();

private:
    struct Modules;
    std::unique_ptr<Modules> m_modules;
};

} // namespace celeryline
