#include "celeryline/rpc/ControlConversion.h"

#include "celeryline/rpc/CapnpConversion.h"

namespace celeryline::detail {

void write(const Introduction& from, rpc::Introduction::Builder to)
{
    to.setAddress(kjText(from.address));
    to.setStorageId(kjText(from.storageId));
    to.setHasLog(from.hasLog);
    to.setFormation(kjBytes(from.formation));
    to.setLeader(kjText(from.leader));
    to.setIsLeaving(from.isLeaving);
    to.setDataCentre(kjText(from.dataCentre));
    auto members = to.initMembers(static_cast<unsigned>(from.members.size()));
    for (unsigned i = 0; i < members.size(); ++i)
        members.set(i, kjText(from.members[i]));
}

Introduction read(rpc::Introduction::Reader from)
{
    Introduction introduction;
    introduction.address = text(from.getAddress());
    introduction.storageId = text(from.getStorageId());
    introduction.hasLog = from.getHasLog();
    introduction.formation = bytes(from.getFormation());
    introduction.leader = text(from.getLeader());
    introduction.isLeaving = from.getIsLeaving();
    introduction.dataCentre = text(from.getDataCentre());
    for (auto member : from.getMembers())
        introduction.members.push_back(text(member));
    return introduction;
}

void write(const ForwardedRequest& from, rpc::ForwardedRequest::Builder to)
{
    to.setOrigin(static_cast<std::uint8_t>(from.origin));
    to.setMethod(kjText(from.method));
    to.setHost(kjText(from.host));
    to.setTarget(kjText(from.target));
    to.setBody(kjBytes(from.body));
    to.setCredential(kjText(from.credential));
}

ForwardedRequest read(rpc::ForwardedRequest::Reader from)
{
    ForwardedRequest request;
    request.origin = checkedEnum(from.getOrigin(), RequestOrigin::Operations);
    request.method = text(from.getMethod());
    request.host = text(from.getHost());
    request.target = text(from.getTarget());
    request.body = bytes(from.getBody());
    request.credential = text(from.getCredential());
    return request;
}

void write(const ForwardedResponse& from, rpc::ForwardedResponse::Builder to)
{
    to.setOutcome(static_cast<std::uint8_t>(from.outcome));
    to.setStatus(from.status);
    to.setBody(kjBytes(from.body));
    to.setRetryAfter(from.retryAfter.count);
    to.setLeader(kjText(from.leader));
}

ForwardedResponse read(rpc::ForwardedResponse::Reader from)
{
    ForwardedResponse response;
    response.outcome = checkedEnum(from.getOutcome(), ForwardOutcome::Unknown);
    response.status = from.getStatus();
    response.body = bytes(from.getBody());
    response.retryAfter = { from.getRetryAfter() };
    response.leader = text(from.getLeader());
    return response;
}

} // namespace celeryline::detail
