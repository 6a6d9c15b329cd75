#include "celeryline/jobs/JobCommand.h"

#include "celeryline/base/Error.h"
#include "celeryline/jobs/JobSerialization.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace celeryline {

std::string encodeJobCommand(const JobCommand& command)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(command);
    return stream.str();
}

JobCommand decodeJobCommand(const std::string& bytes)
{
    std::istringstream stream(bytes);
    JobCommand command;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(command);
    } catch (const std::exception& e) {
        throw Error(ErrorKind::Corrupt, std::string("a job command can't be read: ") + e.what(),
            "run the same version on all instances");
    }
    if (stream.peek() != std::istringstream::traits_type::eof()) {
        throw Error(ErrorKind::Corrupt, "a job command has bytes behind its end",
            "run the same version on all instances");
    }
    return command;
}

} // namespace celeryline
