#include "celeryline/storage/SnapshotStorage.h"

#include "celeryline/storage/SegmentName.h"

namespace celeryline {
namespace {

const char* const prefix = "snapshot-";

} // namespace

SnapshotStorage::SnapshotStorage(FileSystem& files, std::string directory)
    : m_files(files)
    , m_directory(std::move(directory))
{
}

void SnapshotStorage::save(std::uint64_t index, const std::string& bytes)
{
    auto name = detail::numberedName(prefix, index);
    replaceFile(m_files, m_directory, name, bytes);
    for (const auto& other : m_files.list(m_directory)) {
        if (other.rfind(prefix, 0) == 0 && other < name)
            m_files.remove(m_directory + "/" + other);
    }
}

std::string SnapshotStorage::load()
{
    std::string newest;
    for (const auto& name : m_files.list(m_directory)) {
        if (detail::isNumberedName(prefix, name))
            newest = name;
    }
    return newest.empty() ? "" : readChecksummedFile(m_files, m_directory + "/" + newest);
}

} // namespace celeryline
