#include "celeryline/rpc/RpcConversion.h"

#include "celeryline/rpc/CapnpConversion.h"

#include <array>
#include <cstring>

namespace celeryline::detail {

namespace {

/// Marks the description of a KJ exception that contains the kind and text of an Error.
const std::string errorMarker = "celeryline-error ";

constexpr std::array<ErrorKind, 10> errorKinds { ErrorKind::InvalidSettings, ErrorKind::InvalidInput,
    ErrorKind::NotFound, ErrorKind::Conflict, ErrorKind::Unavailable, ErrorKind::TimedOut,
    ErrorKind::LimitExceeded, ErrorKind::Refused, ErrorKind::Storage, ErrorKind::Corrupt };

void write(const ReplicaId& from, rpc::ReplicaId::Builder to)
{
    to.setName(kjText(from.name));
    to.setStorageId(kjText(from.storageId));
}

ReplicaId read(rpc::ReplicaId::Reader from) { return { text(from.getName()), text(from.getStorageId()) }; }

void write(const Resources& from, rpc::Resources::Builder to)
{
    to.setCpuMilli(from.cpuMilli);
    to.setMemoryMb(from.memoryMb);
    to.setAccelerators(from.accelerators);
}

Resources read(rpc::Resources::Reader from)
{
    return { from.getCpuMilli(), from.getMemoryMb(), from.getAccelerators() };
}

void write(const Announcement& from, rpc::Announcement::Builder to)
{
    to.setName(kjText(from.name));
    to.setBootEpoch(from.bootEpoch);
    to.setKind(static_cast<std::uint8_t>(from.kind));
    to.setAddress(kjText(from.address));
    to.setDataCentre(kjText(from.dataCentre));
    to.setRack(kjText(from.rack));
    auto labels = to.initLabels(static_cast<unsigned>(from.labels.size()));
    unsigned i = 0;
    for (const auto& [name, value] : from.labels) {
        labels[i].setName(kjText(name));
        labels[i].setValue(kjText(value));
        ++i;
    }
    to.setSlots(from.slots);
    to.setConnections(from.connections);
    to.setLease(from.lease.count);
    to.setDraining(from.draining);
    write(from.capacity, to.initCapacity());
    write(from.usage, to.initUsage());
}

Announcement read(rpc::Announcement::Reader from)
{
    Announcement to;
    to.name = text(from.getName());
    to.bootEpoch = from.getBootEpoch();
    to.kind = checkedEnum(from.getKind(), UpstreamKind::Worker);
    to.address = text(from.getAddress());
    to.dataCentre = text(from.getDataCentre());
    to.rack = text(from.getRack());
    for (auto label : from.getLabels()) {
        to.labels[text(label.getName())] = text(label.getValue());
    }
    to.slots = from.getSlots();
    to.connections = from.getConnections();
    to.lease = { from.getLease() };
    to.draining = from.getDraining();
    to.capacity = read(from.getCapacity());
    to.usage = read(from.getUsage());
    return to;
}

template <typename List> void writeCredits(const std::vector<SlotCredit>& from, List to)
{
    for (unsigned i = 0; i < from.size(); ++i) {
        to[i].setRunner(kjText(from[i].runner));
        to[i].setBootEpoch(from[i].bootEpoch);
        to[i].setSlots(from[i].slots);
    }
}

std::vector<SlotCredit> readCredits(capnp::List<rpc::SlotCredit>::Reader from)
{
    std::vector<SlotCredit> to;
    to.reserve(from.size());
    for (auto credit : from) {
        to.push_back({ text(credit.getRunner()), credit.getBootEpoch(), credit.getSlots() });
    }
    return to;
}

} // namespace

void write(const RaftMessage& from, rpc::RaftMessage::Builder to)
{
    to.setKind(static_cast<std::uint8_t>(from.kind));
    write(from.from, to.initFrom());
    write(from.to, to.initTo());
    to.setTerm(from.term);
    to.setLogIndex(from.logIndex);
    to.setLogTerm(from.logTerm);
    to.setCommitIndex(from.commitIndex);
    to.setRejected(from.rejected);
    to.setSequence(from.sequence);
    auto entries = to.initEntries(static_cast<unsigned>(from.entries.size()));
    for (unsigned i = 0; i < from.entries.size(); ++i) {
        const auto& entry = from.entries[i];
        entries[i].setIndex(entry.index);
        entries[i].setTerm(entry.term);
        entries[i].setKind(static_cast<std::uint8_t>(entry.kind));
        entries[i].setTime(entry.time.count);
        entries[i].setPayload(kjBytes(entry.payload));
    }
    to.setSnapshotChunk(kjBytes(from.snapshotChunk));
    to.setSnapshotOffset(from.snapshotOffset);
    to.setSnapshotEnd(from.snapshotEnd);
}

RaftMessage read(rpc::RaftMessage::Reader from)
{
    RaftMessage to;
    to.kind = checkedEnum(from.getKind(), RaftMessageKind::TransferLeadership);
    to.from = read(from.getFrom());
    to.to = read(from.getTo());
    to.term = from.getTerm();
    to.logIndex = from.getLogIndex();
    to.logTerm = from.getLogTerm();
    to.commitIndex = from.getCommitIndex();
    to.rejected = from.getRejected();
    to.sequence = from.getSequence();
    to.entries.reserve(from.getEntries().size());
    for (auto entry : from.getEntries()) {
        to.entries.push_back(
            { entry.getIndex(), entry.getTerm(), checkedEnum(entry.getKind(), LogEntryKind::Configuration),
                { entry.getTime() }, bytes(entry.getPayload()) });
    }
    to.snapshotChunk = bytes(from.getSnapshotChunk());
    to.snapshotOffset = from.getSnapshotOffset();
    to.snapshotEnd = from.getSnapshotEnd();
    return to;
}

void write(const RegistryDelta& from, rpc::RegistryDelta::Builder to)
{
    to.setManager(kjText(from.manager));
    to.setEpoch(from.epoch);
    to.setFirstSequence(from.firstSequence);
    to.setIsFullCopy(from.isFullCopy);
    auto changes = to.initChanges(static_cast<unsigned>(from.changes.size()));
    for (unsigned i = 0; i < from.changes.size(); ++i) {
        changes[i].setKind(static_cast<std::uint8_t>(from.changes[i].kind));
        changes[i].setGeneration(from.changes[i].generation);
        write(from.changes[i].upstream, changes[i].initUpstream());
    }
}

RegistryDelta read(rpc::RegistryDelta::Reader from)
{
    RegistryDelta to;
    to.manager = text(from.getManager());
    to.epoch = from.getEpoch();
    to.firstSequence = from.getFirstSequence();
    to.isFullCopy = from.getIsFullCopy();
    to.changes.reserve(from.getChanges().size());
    for (auto change : from.getChanges()) {
        to.changes.push_back({ checkedEnum(change.getKind(), RegistryChangeKind::Expired),
            read(change.getUpstream()), change.getGeneration() });
    }
    return to;
}

void write(const Heartbeat& from, rpc::Heartbeat::Builder to)
{
    to.setName(kjText(from.name));
    to.setDataCentre(kjText(from.dataCentre));
    to.setBootEpoch(from.bootEpoch);
    to.setAppliedRevision(from.appliedRevision);
    to.setLeader(kjText(from.leader));
    to.setDeltaSequence(from.deltaSequence);
    to.setDraining(from.draining);
}

Heartbeat read(rpc::Heartbeat::Reader from)
{
    return { text(from.getName()), text(from.getDataCentre()), from.getBootEpoch(), from.getAppliedRevision(),
        text(from.getLeader()), from.getDeltaSequence(), from.getDraining() };
}

void write(const Command& from, rpc::Command::Builder to)
{
    to.setKind(static_cast<std::uint8_t>(from.kind));
    to.setId(kjText(from.id));
    to.setBody(kjText(from.body));
}

Command read(rpc::Command::Reader from)
{
    return { checkedEnum(from.getKind(), CommandKind::Ledger), text(from.getId()), text(from.getBody()) };
}

void write(const CommandResult& from, rpc::CommandResult::Builder to)
{
    to.setAccepted(from.accepted);
    to.setErrorKind(static_cast<std::uint8_t>(from.errorKind));
    to.setBody(kjText(from.body));
    to.setRevision(from.revision);
}

CommandResult read(rpc::CommandResult::Reader from)
{
    return { from.getAccepted(), checkedEnum(from.getErrorKind(), ErrorKind::Corrupt), text(from.getBody()),
        from.getRevision() };
}

void write(const CreditRequest& from, rpc::CreditRequest::Builder to)
{
    to.setBorrower(kjText(from.borrower));
    to.setBorrowerEpoch(from.borrowerEpoch);
    to.setService(kjText(from.service));
    to.setWanted(from.wanted);
    writeCredits(from.returned, to.initReturned(static_cast<unsigned>(from.returned.size())));
}

CreditRequest read(rpc::CreditRequest::Reader from)
{
    return { text(from.getBorrower()), from.getBorrowerEpoch(), text(from.getService()), from.getWanted(),
        readCredits(from.getReturned()) };
}

void write(const CreditGrant& from, rpc::CreditGrant::Builder to)
{
    writeCredits(from.lent, to.initLent(static_cast<unsigned>(from.lent.size())));
    to.setLease(from.lease.count);
}

CreditGrant read(rpc::CreditGrant::Reader from)
{
    return { readCredits(from.getLent()), { from.getLease() } };
}

void write(const Hello& from, rpc::Hello::Builder to)
{
    to.setName(kjText(from.name));
    to.setStorageId(kjText(from.storageId));
    to.setHasLog(from.hasLog);
    to.setFormation(kjBytes(from.formation));
}

Hello read(rpc::Hello::Reader from)
{
    return { text(from.getName()), text(from.getStorageId()), from.getHasLog(), bytes(from.getFormation()) };
}

kj::Exception toKjException(const Error& error)
{
    auto description = errorMarker + errorKindName(error.kind()) + " " + error.what();
    return { kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::heapString(description.c_str()) };
}

std::optional<Error> readError(const kj::Exception& exception)
{
    // The RPC system prefixes the description with "remote exception: ".
    std::string description = exception.getDescription().cStr();
    auto marker = description.find(errorMarker);
    if (marker == std::string::npos) {
        return std::nullopt;
    }
    auto kindStart = marker + errorMarker.size();
    auto kindEnd = description.find(' ', kindStart);
    auto name = description.substr(kindStart, kindEnd - kindStart);
    for (auto kind : errorKinds) {
        if (name == errorKindName(kind) && kindEnd != std::string::npos) {
            return errorFromText(kind, description.substr(kindEnd + 1));
        }
    }
    return std::nullopt;
}

Error errorFromText(ErrorKind kind, const std::string& text)
{
    auto split = text.find("; ");
    if (split == std::string::npos) {
        return { kind, text, "see the peer's log" };
    }
    return { kind, text.substr(0, split), text.substr(split + 2) };
}

} // namespace celeryline::detail
