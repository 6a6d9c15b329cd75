/// @file
/// Temporary folder for tests.
#pragma once

#include <filesystem>
#include <string>

#include <stdlib.h>

namespace celeryline::test {

/// Creates a folder in the working directory and removes it with its content on destruction.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::current_path() / "test-folder-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

} // namespace celeryline::test
