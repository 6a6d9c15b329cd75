/// @file
/// Conversion between celeryline's structs and the types of Control.capnp.
#pragma once

#include "celeryline/membership/Introduction.h"
#include "celeryline/rpc/ForwardedRequest.h"
#include "celeryline/rpc/RpcConversion.h"

#include <Control.capnp.h>

namespace celeryline::detail {

/// Encodes a struct into a Cap'n Proto message; overloaded for each type of the RPC interface.
/// @param from struct to encode.
/// @param to builder of the corresponding message field.
void write(const Introduction& from, rpc::Introduction::Builder to);
void write(const ForwardedRequest& from, rpc::ForwardedRequest::Builder to);
void write(const ForwardedResponse& from, rpc::ForwardedResponse::Builder to);

/// Decodes a struct from a Cap'n Proto message; overloaded for each type of the RPC interface.
/// @param from reader of the corresponding message field.
/// @return the decoded struct.
/// @throws Error of kind InvalidInput for an enum value that is unknown to this version.
Introduction read(rpc::Introduction::Reader from);
ForwardedRequest read(rpc::ForwardedRequest::Reader from);
ForwardedResponse read(rpc::ForwardedResponse::Reader from);

} // namespace celeryline::detail
