/// @file
/// A log file with one line per event, to compare the outcomes reported to callers with the requests that
/// ran.
#pragma once

#include <fstream>
#include <mutex>
#include <string>

namespace celeryline::kit {

/// Appends lines to a file. Flushes each line, so that none is lost if the process is killed.
class Journal {
public:
    /// @param path path of the file; if empty, nothing is written.
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
