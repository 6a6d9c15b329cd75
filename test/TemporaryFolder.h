/// @file
/// A folder that lasts as long as a test.
#pragma once

#include <filesystem>
#include <string>

#include <stdlib.h>

namespace celeryline::test {

/// A folder below the working folder that is removed with its content at the end.
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
