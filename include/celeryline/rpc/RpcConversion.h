/// @file
/// Conversion between celeryline's structs and the types of Peer.capnp.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/consensus/Hello.h"
#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/registry/CreditRequest.h"
#include "celeryline/registry/Heartbeat.h"
#include "celeryline/registry/RegistryDelta.h"

#include <Peer.capnp.h>

#include <optional>
#include <string>

namespace celeryline::detail {

/// Encodes a struct into a Cap'n Proto message; overloaded for each type of the RPC interface.
/// @param from struct to encode.
/// @param to builder of the corresponding message field.
void write(const RaftMessage& from, rpc::RaftMessage::Builder to);
void write(const RegistryDelta& from, rpc::RegistryDelta::Builder to);
void write(const Heartbeat& from, rpc::Heartbeat::Builder to);
void write(const Command& from, rpc::Command::Builder to);
void write(const CommandResult& from, rpc::CommandResult::Builder to);
void write(const CreditRequest& from, rpc::CreditRequest::Builder to);
void write(const CreditGrant& from, rpc::CreditGrant::Builder to);
void write(const Hello& from, rpc::Hello::Builder to);

/// Decodes a struct from a Cap'n Proto message; overloaded for each type of the RPC interface.
/// @param from reader of the corresponding message field.
/// @return the decoded struct.
/// @throws Error of kind InvalidInput for an enum value that is unknown to this version.
RaftMessage read(rpc::RaftMessage::Reader from);
RegistryDelta read(rpc::RegistryDelta::Reader from);
Heartbeat read(rpc::Heartbeat::Reader from);
Command read(rpc::Command::Reader from);
CommandResult read(rpc::CommandResult::Reader from);
CreditRequest read(rpc::CreditRequest::Reader from);
CreditGrant read(rpc::CreditGrant::Reader from);
Hello read(rpc::Hello::Reader from);

/// @param error error thrown by a handler.
/// @return an exception that transmits its kind and text to the caller.
kj::Exception toKjException(const Error& error);

/// @param exception exception with which a call failed.
/// @return the handler's error; std::nullopt if the call failed for another reason.
std::optional<Error> readError(const kj::Exception& exception);

/// Parses the text of an error.
/// @param kind kind of the error.
/// @param text description and remedy, separated by "; ".
Error errorFromText(ErrorKind kind, const std::string& text);

} // namespace celeryline::detail
