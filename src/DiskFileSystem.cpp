#include "celeryline/DiskFileSystem.h"

#include "celeryline/Error.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

namespace celeryline {
namespace {

[[noreturn]] void fail(const std::string& operation, const std::string& path, int code)
{
    throw Error(ErrorKind::Storage,
        operation + " \"" + path + "\" failed: " + std::generic_category().message(code),
        "check the disk's free space, its health and the folder's permissions");
}

/// Closes a file descriptor at the end of a scope.
class Descriptor {
public:
    Descriptor(const std::string& path, int flags)
        : m_value(::open(path.c_str(), flags | O_CLOEXEC, 0644)) // NOLINT(hicpp-vararg)
    {
        if (m_value < 0)
            fail("opening", path, errno);
    }
    ~Descriptor() { ::close(m_value); }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;

    int value() const { return m_value; }

private:
    int m_value;
};

class DiskAppendFile final : public AppendFile {
public:
    explicit DiskAppendFile(const std::string& path)
        : m_path(path)
        , m_descriptor(path, O_WRONLY | O_CREAT | O_APPEND)
    {
    }

    void append(const std::string& bytes) override
    {
        std::size_t written = 0;
        while (written < bytes.size()) {
            auto count = ::write(m_descriptor.value(), bytes.data() + written, bytes.size() - written);
            if (count >= 0) {
                written += static_cast<std::size_t>(count);
            } else if (errno != EINTR) {
                fail("writing", m_path, errno);
            }
        }
    }

    void sync() override
    {
        if (::fdatasync(m_descriptor.value()) != 0)
            fail("syncing", m_path, errno);
    }

private:
    std::string m_path;
    Descriptor m_descriptor;
};

} // namespace

std::unique_ptr<AppendFile> DiskFileSystem::openForAppend(const std::string& path)
{
    return std::make_unique<DiskAppendFile>(path);
}

std::string DiskFileSystem::read(const std::string& path)
{
    Descriptor file(path, O_RDONLY);
    std::string content;
    std::string block(1 << 16, '\0');
    for (;;) {
        auto count = ::read(file.value(), block.data(), block.size());
        if (count == 0)
            return content;
        if (count > 0) {
            content.append(block, 0, static_cast<std::size_t>(count));
        } else if (errno != EINTR) {
            fail("reading", path, errno);
        }
    }
}

bool DiskFileSystem::exists(const std::string& path)
{
    std::error_code code;
    bool found = std::filesystem::exists(path, code);
    if (code)
        fail("looking up", path, code.value());
    return found;
}

void DiskFileSystem::truncate(const std::string& path, std::uint64_t size)
{
    Descriptor file(path, O_WRONLY);
    if (::ftruncate(file.value(), static_cast<off_t>(size)) != 0)
        fail("truncating", path, errno);
    if (::fsync(file.value()) != 0)
        fail("syncing", path, errno);
}

void DiskFileSystem::rename(const std::string& from, const std::string& to)
{
    std::error_code code;
    std::filesystem::rename(from, to, code);
    if (code)
        fail("renaming", from, code.value());
}

void DiskFileSystem::remove(const std::string& path)
{
    std::error_code code;
    if (!std::filesystem::remove(path, code) && code)
        fail("removing", path, code.value());
}

std::vector<std::string> DiskFileSystem::list(const std::string& directory)
{
    std::error_code code;
    std::vector<std::string> names;
    auto entries = std::filesystem::directory_iterator(directory, code);
    if (code)
        fail("listing", directory, code.value());
    for (const auto& entry : entries)
        names.push_back(entry.path().filename().string());
    std::sort(names.begin(), names.end());
    return names;
}

void DiskFileSystem::syncDirectory(const std::string& directory)
{
    Descriptor folder(directory, O_RDONLY | O_DIRECTORY);
    if (::fsync(folder.value()) != 0)
        fail("syncing", directory, errno);
}

void DiskFileSystem::createDirectories(const std::string& directory)
{
    std::error_code code;
    std::filesystem::create_directories(directory, code);
    if (code)
        fail("creating", directory, code.value());
    auto parent = std::filesystem::absolute(directory).lexically_normal().parent_path();
    syncDirectory(parent.string());
}

} // namespace celeryline
