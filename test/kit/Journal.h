/// @file
/// A file of one line an event, for comparing what callers were told with what runners ran.
#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace celeryline::kit {

/// Appends lines to a file; each line is flushed, so that a killed process loses none that it wrote.
class Journal {
public:
    /// @param path the file; empty writes nothing.
    explicit Journal(const std::string& path)
    {
        if (!path.empty()) {
            m_file.open(path, std::ios::app);
        }
    }

    /// @param line the event, without the line end.
    void write(const std::string& line)
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_file.is_open()) {
            m_file << line << '\n' << std::flush;
        }
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace celeryline::kit
