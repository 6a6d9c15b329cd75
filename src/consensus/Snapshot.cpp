#include "celeryline/consensus/Snapshot.h"

#include "celeryline/base/ByteCodec.h"

#include <xxhash.h>

namespace celeryline {

std::string encodeSnapshot(const Snapshot& snapshot)
{
    std::string bytes(sizeof(std::uint64_t), '\0');
    bytes.reserve(snapshot.state.size() + 256);
    detail::appendInteger(bytes, snapshot.index);
    detail::appendInteger(bytes, snapshot.term);
    detail::appendInteger(bytes, snapshot.time.count);
    detail::appendString(bytes, encodeConfiguration(snapshot.configuration));
    detail::appendString(bytes, snapshot.state);
    std::string checksum;
    detail::appendInteger(checksum, static_cast<std::uint64_t>(XXH64(bytes.data() + 8, bytes.size() - 8, 0)));
    bytes.replace(0, checksum.size(), checksum);
    return bytes;
}

Snapshot decodeSnapshot(const std::string& bytes, const std::string& source)
{
    detail::ByteReader reader(bytes, source);
    auto checksum = reader.integer<std::uint64_t>();
    if (checksum != XXH64(bytes.data() + 8, bytes.size() - 8, 0)) {
        throw Error(ErrorKind::Corrupt, source + " is damaged: checksum mismatch",
            "move the data folder away and restart, the instance then rejoins with an empty one");
    }
    Snapshot snapshot;
    snapshot.index = reader.integer<std::uint64_t>();
    snapshot.term = reader.integer<std::uint64_t>();
    snapshot.time = { reader.integer<std::int64_t>() };
    snapshot.configuration = decodeConfiguration(reader.text());
    snapshot.state = reader.text();
    return snapshot;
}

} // namespace celeryline
