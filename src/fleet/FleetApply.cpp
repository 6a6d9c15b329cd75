#include "celeryline/fleet/FleetApply.h"

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetOperations.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/Exception.h>

#include <array>

namespace celeryline {

namespace {

using Operation = detail::OperationResult (*)(detail::FleetDraft&, const FleetCommand&);

/// Indexed by FleetOperation.
constexpr std::array<Operation, 23> operations { detail::applyObjects, detail::deleteObjects,
    detail::registerInstance, detail::instanceLost, detail::labelInstance, detail::drainInstance,
    detail::undrainInstance, detail::moveInstance, detail::startWave, detail::setWaveState,
    detail::setWaveState, detail::grantPermits, detail::instanceDrained, detail::instanceRebooting,
    detail::instanceReturned, detail::abandonInstance, detail::finishMove, detail::endWave, detail::submitJob,
    detail::cancelJobs, detail::placeJobs, detail::jobEnded, detail::removeInstance };

} // namespace

std::pair<FleetState, CommandResult> applyFleetCommand(
    const FleetState& fleet, Millis entryTime, const Command& command)
{
    CommandResult result;
    result.revision = fleet.revision;
    try {
        auto parsed = parseFleetCommand(command.body);
        detail::FleetDraft draft(fleet, entryTime, command.id);
        auto body = operations.at(static_cast<std::size_t>(parsed.operation))(draft, parsed);
        auto next = draft.finish();
        result.accepted = true;
        result.revision = next.revision;
        result.body = body.isNull() ? "{}" : toText(body);
        return { std::move(next), std::move(result) };
    } catch (const Error& e) {
        result.errorKind = e.kind();
        result.body = e.what();
    } catch (const Poco::Exception& e) {
        result.errorKind = ErrorKind::InvalidInput;
        result.body = "the command can't be read: " + e.displayText() + "; correct its JSON body";
    }
    return { fleet, std::move(result) };
}

} // namespace celeryline
