/// @file
/// JSON encoding of announcements.
#pragma once

#include "celeryline/registry/AnnounceReply.h"
#include "celeryline/registry/Announcement.h"

#include <string>
#include <vector>

namespace celeryline {

/// An announcement with the tasks it reports.
struct AnnounceRequest {
    Announcement upstream;
    std::vector<ReportedTask> tasks;
};

/// Parses and validates the body of `POST /v1/upstreams`.
/// @param json the body.
/// @param dataCentre data centre of this instance; upstreams of other data centres are refused.
/// @param defaultLease lease if the body gives none.
/// @return the announcement.
/// @throws Error of kind InvalidInput that names the field and the remedy.
AnnounceRequest parseAnnouncement(
    const std::string& json, const std::string& dataCentre, Millis defaultLease);

/// @param request an announcement.
/// @return JSON text that parseAnnouncement() accepts.
std::string toJson(const AnnounceRequest& request);

} // namespace celeryline
