/// @file
/// Announcements as JSON.
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

/// Reads and checks the body of `POST /v1/upstreams`.
/// @param json the body.
/// @param dataCentre data centre of this instance; upstreams of another one are refused.
/// @param defaultLease used when the body names none.
/// @return the announcement.
/// @throws Error of kind InvalidInput that names the field and the remedy.
AnnounceRequest parseAnnouncement(
    const std::string& json, const std::string& dataCentre, Millis defaultLease);

/// @param request an announcement.
/// @return its JSON text, which parseAnnouncement() reads.
std::string toJson(const AnnounceRequest& request);

} // namespace celeryline
