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

[[noreturn]] void throwStorageError(const std::string& operation, const std::string& path, int code)
{
    throw Error(ErrorKind::Storage,
        operation + " \"" + path + "\" failed: " + std::generic_category().message(code),
        "check the disk's free space, its health and the folder's permissions");
}

/// RAII wrapper of a file descriptor.
class FileDescriptor {
public:
    FileDescriptor(const std::string& path, int flags)
        : m_value(::open(path.c_str(), flags | O_CLOEXEC, 0644)) // NOLINT(hicpp-vararg)
    {
        if (m_value < 0)
            throwStorageError("opening", path, errno);
    }
    ~FileDescriptor() { ::close(m_value); }
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    int value() const { return m_value; }

private:
    int m_value;
};

class DiskAppendFile final : public AppendFile {
public:
    DiskAppendFile(const std::string& path, std::uint64_t preallocateBytes)
        : m_path(path)
        , m_descriptor(path, O_WRONLY | O_CREAT)
        , m_preallocateBytes(preallocateBytes)
    {
        auto end = ::lseek(m_descriptor.value(), 0, SEEK_END);
        if (end < 0)
            throwStorageError("opening", path, errno);
        m_end = m_size = static_cast<std::uint64_t>(end);
    }

    ~DiskAppendFile() override
    {
        // A failure is harmless: readers tolerate trailing zero bytes, as after a crash.
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
            if (m_preallocateBytes != 0)
                preallocate();
        }
    }

    void sync() override
    {
        if (::fdatasync(m_descriptor.value()) != 0)
            throwStorageError("syncing", m_path, errno);
    }

private:
    void preallocate()
    {
        try {
            write(std::string(m_preallocateBytes, '\0'), m_end);
            m_size += m_preallocateBytes;
        } catch (const Error&) {
            // The disk is nearly full; the appended data itself was written.
            if (::ftruncate(m_descriptor.value(), static_cast<off_t>(m_end)) != 0)
                throwStorageError("truncating", m_path, errno);
            m_preallocateBytes = 0;
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
                throwStorageError("writing", m_path, errno);
            }
        }
    }

    std::string m_path;
    FileDescriptor m_descriptor;
    std::uint64_t m_preallocateBytes;
    std::uint64_t m_end = 0; ///< Offset after the last appended byte.
    std::uint64_t m_size = 0; ///< File size, including the zero bytes after m_end.
};

} // namespace

std::unique_ptr<AppendFile> DiskFileSystem::openForAppend(
    const std::string& path, std::uint64_t preallocateBytes)
{
    return std::make_unique<DiskAppendFile>(path, preallocateBytes);
}

std::string DiskFileSystem::read(const std::string& path)
{
    FileDescriptor file(path, O_RDONLY);
    std::string content;
    std::string block(1 << 16, '\0');
    for (;;) {
        auto count = ::read(file.value(), block.data(), block.size());
        if (count == 0)
            return content;
        if (count > 0) {
            content.append(block, 0, static_cast<std::size_t>(count));
        } else if (errno != EINTR) {
            throwStorageError("reading", path, errno);
        }
    }
}

bool DiskFileSystem::exists(const std::string& path)
{
    std::error_code code;
    bool found = std::filesystem::exists(path, code);
    if (code)
        throwStorageError("looking up", path, code.value());
    return found;
}

void DiskFileSystem::truncate(const std::string& path, std::uint64_t size)
{
    FileDescriptor file(path, O_WRONLY);
    if (::ftruncate(file.value(), static_cast<off_t>(size)) != 0)
        throwStorageError("truncating", path, errno);
    if (::fsync(file.value()) != 0)
        throwStorageError("syncing", path, errno);
}

void DiskFileSystem::rename(const std::string& from, const std::string& to)
{
    std::error_code code;
    std::filesystem::rename(from, to, code);
    if (code)
        throwStorageError("renaming", from, code.value());
}

void DiskFileSystem::remove(const std::string& path)
{
    std::error_code code;
    if (!std::filesystem::remove(path, code) && code)
        throwStorageError("removing", path, code.value());
}

std::vector<std::string> DiskFileSystem::list(const std::string& directory)
{
    std::error_code code;
    std::vector<std::string> names;
    auto entries = std::filesystem::directory_iterator(directory, code);
    if (code)
        throwStorageError("listing", directory, code.value());
    for (const auto& entry : entries)
        names.push_back(entry.path().filename().string());
    std::sort(names.begin(), names.end());
    return names;
}

void DiskFileSystem::syncDirectory(const std::string& directory)
{
    FileDescriptor descriptor(directory, O_RDONLY | O_DIRECTORY);
    if (::fsync(descriptor.value()) != 0)
        throwStorageError("syncing", directory, errno);
}

void DiskFileSystem::createDirectories(const std::string& directory)
{
    std::error_code code;
    std::filesystem::create_directories(directory, code);
    if (code)
        throwStorageError("creating", directory, code.value());
    auto parent = std::filesystem::absolute(directory).lexically_normal().parent_path();
    syncDirectory(parent.string());
}

} // namespace celeryline
