#include "celeryline/storage/FileSystem.h"

#include "celeryline/base/ByteCodec.h"

#include <xxhash.h>

namespace celeryline {

void replaceFile(
    FileSystem& files, const std::string& directory, const std::string& name, const std::string& content)
{
    auto temporary = directory + "/" + name + ".tmp";
    if (files.exists(temporary))
        files.remove(temporary);
    {
        std::string bytes;
        bytes.reserve(content.size() + 8);
        detail::appendInteger(bytes, static_cast<std::uint64_t>(XXH64(content.data(), content.size(), 0)));
        bytes += content;
        auto file = files.openForAppend(temporary);
        file->append(bytes);
        file->sync();
    }
    files.rename(temporary, directory + "/" + name);
    files.syncDirectory(directory);
}

std::string readChecksummedFile(FileSystem& files, const std::string& path)
{
    auto bytes = files.read(path);
    detail::ByteReader reader(bytes, path);
    auto checksum = reader.integer<std::uint64_t>();
    auto content = bytes.substr(8);
    if (checksum != XXH64(content.data(), content.size(), 0)) {
        throw Error(ErrorKind::Corrupt, "file \"" + path + "\" is damaged: its checksum is wrong",
            "move the data folder away and restart, the instance then rejoins with an empty one");
    }
    return content;
}

} // namespace celeryline
