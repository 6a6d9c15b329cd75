@0xb3c1f29c7a54e6d1;
# RPCs between entry instances. Times are in milliseconds.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("celeryline::rpc");

struct ReplicaId {
  name @0 :Text;
  storageId @1 :Text;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  time @3 :Int64;
  payload @4 :Data;
}

struct RaftMessage {
  kind @0 :UInt8;
  from @1 :ReplicaId;
  to @2 :ReplicaId;
  term @3 :UInt64;
  logIndex @4 :UInt64;
  logTerm @5 :UInt64;
  commitIndex @6 :UInt64;
  rejected @7 :Bool;
  sequence @8 :UInt64;
  entries @9 :List(LogEntry);
  snapshotChunk @10 :Data;
  snapshotOffset @11 :UInt64;
  snapshotEnd @12 :Bool;
}

struct Command {
  kind @0 :UInt8;
  id @1 :Text;
  body @2 :Text;
}

struct CommandResult {
  accepted @0 :Bool;
  errorKind @1 :UInt8;
  body @2 :Text;
  revision @3 :UInt64;
}

struct Label {
  name @0 :Text;
  value @1 :Text;
}

struct Resources {
  cpuMilli @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
}

struct Announcement {
  name @0 :Text;
  kind @1 :UInt8;
  address @2 :Text;
  dataCentre @3 :Text;
  rack @4 :Text;
  labels @5 :List(Label);
  slots @6 :UInt32;
  connections @7 :UInt32;
  bootEpoch @8 :UInt64;
  lease @9 :Int64;
  draining @10 :Bool;
  capacity @11 :Resources;
  usage @12 :Resources;
}

struct RegistryChange {
  kind @0 :UInt8;
  upstream @1 :Announcement;
  generation @2 :UInt64;
}

struct RegistryDelta {
  manager @0 :Text;
  epoch @1 :UInt64;
  firstSequence @2 :UInt64;
  isFullCopy @3 :Bool;
  changes @4 :List(RegistryChange);
}

struct Heartbeat {
  name @0 :Text;
  dataCentre @1 :Text;
  bootEpoch @2 :UInt64;
  appliedRevision @3 :UInt64;
  leader @4 :Text;
  deltaSequence @5 :UInt64;
  draining @6 :Bool;
}

struct SlotCredit {
  runner @0 :Text;
  bootEpoch @1 :UInt64;
  slots @2 :UInt32;
}

struct CreditRequest {
  borrower @0 :Text;
  borrowerEpoch @1 :UInt64;
  service @2 :Text;
  wanted @3 :UInt32;
  returned @4 :List(SlotCredit);
}

struct CreditGrant {
  lent @0 :List(SlotCredit);
  lease @1 :Int64;
}

struct Hello {
  name @0 :Text;
  storageId @1 :Text;
  hasLog @2 :Bool;
  formation @3 :Data;
}

# The bootstrap interface. Grants access to the Peer interface to clients that present the peer token.
interface Gate {
  open @0 (token :Text, name :Text) -> (peer :Peer);
}

interface Peer {
  raft @0 (message :RaftMessage) -> ();
  delta @1 (delta :RegistryDelta) -> ();
  heartbeat @2 (heartbeat :Heartbeat) -> ();
  submit @3 (command :Command) -> (result :CommandResult);
  fullCopy @4 () -> (copy :RegistryDelta);
  credits @5 (request :CreditRequest) -> (grant :CreditGrant);
  hello @6 (hello :Hello) -> (hello :Hello);
}
