/// @file
/// Conversion between celeryline's structs and those of the control processes' RPC schema.
#pragma once

#include "celeryline/membership/Introduction.h"
#include "celeryline/rpc/ForwardedRequest.h"
#include "celeryline/rpc/RpcConversion.h"

#include <Control.capnp.h>

namespace celeryline::detail {

/// Writes a struct into a message; the overloads are for the types of the RPC interface.
/// @param from the struct.
/// @param to its place in the message.
void write(const Introduction& from, rpc::Introduction::Builder to);
void write(const ForwardedRequest& from, rpc::ForwardedRequest::Builder to);
void write(const ForwardedResponse& from, rpc::ForwardedResponse::Builder to);

/// Reads a struct from a message; the overloads are for the types of the RPC interface.
/// @param from its place in the message.
/// @return the struct.
/// @throws Error of kind InvalidInput for an enum value that this version doesn't know.
Introduction read(rpc::Introduction::Reader from);
ForwardedRequest read(rpc::ForwardedRequest::Reader from);
ForwardedResponse read(rpc::ForwardedResponse::Reader from);

} // namespace celeryline::detail
