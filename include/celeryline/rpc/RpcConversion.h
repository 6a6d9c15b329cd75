/// @file
/// Conversion between celeryline's structs and those of the RPC schema.
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

/// Writes a struct into a message; the overloads are for the types of the RPC interface.
/// @param from the struct.
/// @param to its place in the message.
void write(const RaftMessage& from, rpc::RaftMessage::Builder to);
void write(const RegistryDelta& from, rpc::RegistryDelta::Builder to);
void write(const Heartbeat& from, rpc::Heartbeat::Builder to);
void write(const Command& from, rpc::Command::Builder to);
void write(const CommandResult& from, rpc::CommandResult::Builder to);
void write(const CreditRequest& from, rpc::CreditRequest::Builder to);
void write(const CreditGrant& from, rpc::CreditGrant::Builder to);
void write(const Hello& from, rpc::Hello::Builder to);

/// Reads a struct from a message; the overloads are for the types of the RPC interface.
/// @param from its place in the message.
/// @return the struct.
/// @throws Error of kind InvalidInput for an enum value that this version doesn't know.
RaftMessage read(rpc::RaftMessage::Reader from);
RegistryDelta read(rpc::RegistryDelta::Reader from);
Heartbeat read(rpc::Heartbeat::Reader from);
Command read(rpc::Command::Reader from);
CommandResult read(rpc::CommandResult::Reader from);
CreditRequest read(rpc::CreditRequest::Reader from);
CreditGrant read(rpc::CreditGrant::Reader from);
Hello read(rpc::Hello::Reader from);

/// @param error an error of a handler.
/// @return an exception that carries its kind to the caller.
kj::Exception toKjException(const Error& error);

/// @param exception what a call failed with.
/// @return the handler's error; nothing if the call failed for another reason.
std::optional<Error> readError(const kj::Exception& exception);

/// @param text an error's text: what happened and the remedy, joined by "; ".
/// @param kind its kind.
/// @return the error.
Error errorFromText(ErrorKind kind, const std::string& text);

} // namespace celeryline::detail
