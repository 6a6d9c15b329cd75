#include "celeryline/jobs/JobCommand.h"

#include "celeryline/base/Error.h"
#include "celeryline/jobs/JobSerialization.h"

#include <Poco/DeflatingStream.h>
#include <Poco/InflatingStream.h>
#include <Poco/StreamCopier.h>
#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace celeryline {
namespace {

/// Smaller commands aren't worth the CPU time. In practice only configurations exceed it: uncompressed, those
/// of 2,000 queues took 555 KB each, and four per second used two thirds of a leader's 200 Mbit/s link to
/// seven followers.
constexpr std::size_t compressionThreshold = 16384;
/// First byte of a compressed command; cereal writes 0 or 1 there.
constexpr char compressedMarker = 2;
/// The fastest level; shrinks a configuration by a factor of about nine.
constexpr int compressionLevel = 1;

template <typename Value> std::string serializeValue(const Value& value)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return stream.str();
}

/// @param bytes the serialized value.
/// @param fields receives the fields that follow the value, if there are any.
template <typename Value>
Value deserializeValue(const std::string& bytes, detail::CustomerFields* fields = nullptr)
{
    std::istringstream stream(bytes);
    Value value;
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(value);
        if (fields != nullptr && stream.peek() != std::istringstream::traits_type::eof())
            archive(*fields);
    } catch (const std::exception& e) {
        throw Error(ErrorKind::Corrupt, std::string("a job command can't be read: ") + e.what(),
            "run the same version on all instances");
    }
    if (stream.peek() != std::istringstream::traits_type::eof()) {
        throw Error(
            ErrorKind::Corrupt, "a job command has trailing bytes", "run the same version on all instances");
    }
    return value;
}

std::string deflate(const std::string& bytes)
{
    std::ostringstream deflated;
    Poco::DeflatingOutputStream stream(deflated, Poco::DeflatingStreamBuf::STREAM_ZLIB, compressionLevel);
    stream.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    stream.close();
    return deflated.str();
}

std::string inflate(const std::string& bytes)
{
    std::istringstream deflated(bytes);
    Poco::InflatingInputStream stream(deflated, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string inflated;
    Poco::StreamCopier::copyToString(stream, inflated);
    return inflated;
}

detail::CustomerFields customerFieldsOf(const JobCommand& command)
{
    detail::CustomerFields fields;
    if (const auto* accept = std::get_if<AcceptConfiguration>(&command))
        fields.customers = accept->configuration.customers;
    const auto* submit = std::get_if<SubmitJob>(&command);
    if (submit != nullptr && !submit->job.customer.empty())
        fields.jobs.emplace_back(submit->job.id, submit->job.customer);
    const auto* cancel = std::get_if<CancelJob>(&command);
    if (cancel != nullptr && !cancel->customer.empty())
        fields.jobs.emplace_back(cancel->job, cancel->customer);
    return fields;
}

void setCustomerFields(JobCommand& command, detail::CustomerFields fields)
{
    if (auto* accept = std::get_if<AcceptConfiguration>(&command))
        accept->configuration.customers = std::move(fields.customers);
    auto* submit = std::get_if<SubmitJob>(&command);
    if (submit != nullptr && !fields.jobs.empty())
        submit->job.customer = std::move(fields.jobs.front().second);
    auto* cancel = std::get_if<CancelJob>(&command);
    if (cancel != nullptr && !fields.jobs.empty())
        cancel->customer = std::move(fields.jobs.front().second);
}

std::string serializeCommand(const JobCommand& command)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(command);
    auto fields = customerFieldsOf(command);
    if (!isEmpty(fields))
        archive(fields);
    return stream.str();
}

JobCommand deserializeCommand(const std::string& bytes)
{
    detail::CustomerFields fields;
    auto command = deserializeValue<JobCommand>(bytes, &fields);
    setCustomerFields(command, std::move(fields));
    return command;
}

} // namespace

std::string encodeJobCommand(const JobCommand& command)
{
    auto bytes = serializeCommand(command);
    return bytes.size() < compressionThreshold ? bytes : compressedMarker + serializeValue(deflate(bytes));
}

JobCommand decodeJobCommand(const std::string& bytes)
{
    if (!bytes.empty() && bytes.front() == compressedMarker)
        return deserializeCommand(inflate(deserializeValue<std::string>(bytes.substr(1))));
    return deserializeCommand(bytes);
}

} // namespace celeryline
