#include "celeryline/storage/DiskFileSystem.h"

#include "celeryline/base/Error.h"

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
    DiskAppendFile(const std::string& path, std::uint64_t reserveBytes)
        : m_path(path)
        , m_descriptor(path, O_WRONLY | O_CREAT)
        , m_reserveBytes(reserveBytes)
    {
        auto end = ::lseek(m_descriptor.value(), 0, SEEK_END);
        if (end < 0)
            fail("opening", path, errno);
        m_end = m_size = static_cast<std::uint64_t>(end);
    }

    ~DiskAppendFile() override
    {
        // Only tidies up; the zero bytes may as well stay, as after a crash.
        if (m_size > m_end && ::ftruncate(m_descriptor.value(), static_cast<off_t>(m_end)) != 0)
            return;
    }
    DiskAppendFile(const DiskAppendFile&) = delete;
    DiskAppendFile& operator=(const DiskAppendFile&) = delete;

    void append(const std::string& bytes) override
    {
        write(bytes, m_end);
        m_end += bytes.size();
        if (m_end > m_size) {
            m_size = m_end;
            if (m_reserveBytes != 0)
                reserve();
        }
    }

    void sync() override
    {
        if (::fdatasync(m_descriptor.value()) != 0)
            fail("syncing", m_path, errno);
    }

private:
    void reserve()
    {
        try {
            write(std::string(m_reserveBytes, '\0'), m_end);
            m_size += m_reserveBytes;
        } catch (const Error&) {
            // A nearly full disk; what was to be appended did fit.
            if (::ftruncate(m_descriptor.value(), static_cast<off_t>(m_end)) != 0)
                fail("truncating", m_path, errno);
            m_reserveBytes = 0;
        }
    }

    void write(const std::string& bytes, std::uint64_t offset)
    {
        std::size_t written = 0;
        while (written < bytes.size()) {
            auto count = ::pwrite(m_descriptor.value(), bytes.data() + written, bytes.size() - written,
                static_cast<off_t>(offset + written));
            if (count >= 0) {
                written += static_cast<std::size_t>(count);
            } else if (errno != EINTR) {
                fail("writing", m_path, errno);
            }
        }
    }

    std::string m_path;
    Descriptor m_descriptor;
    std::uint64_t m_reserveBytes;
    std::uint64_t m_end = 0; ///< Behind the last appended byte.
    std::uint64_t m_size = 0; ///< Of the file, with the zero bytes behind m_end.
};

} // namespace

std::unique_ptr<AppendFile> DiskFileSystem::openForAppend(const std::string& path, std::uint64_t reserveBytes)
{
    return std::make_unique<DiskAppendFile>(path, reserveBytes);
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
