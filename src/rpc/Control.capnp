@0xd1a9f46b2c83e705;
# RPCs to a control process. Times are in milliseconds.

using Cxx = import "/capnp/c++.capnp";
using Peer = import "Peer.capnp";
$Cxx.namespace("celeryline::rpc");

struct Introduction {
  address @0 :Text;
  # Address at which the sender serves this interface; empty if it does not.
  storageId @1 :Text;
  hasLog @2 :Bool;
  formation @3 :Data;
  leader @4 :Text;
  members @5 :List(Text);
  isLeaving @6 :Bool;
  # Whether the sender is shutting down.
  dataCentre @7 :Text;
}

struct ForwardedRequest {
  method @0 :Text;
  host @1 :Text;
  target @2 :Text;
  body @3 :Data;
  origin @4 :UInt8;
  credential @5 :Text;
  # The caller's API key; empty for none.
}

struct ForwardedResponse {
  outcome @0 :UInt8;
  status @1 :UInt16;
  body @2 :Data;
  retryAfter @3 :Int64;
  leader @4 :Text;
}

interface Control {
  raft @0 (message :Peer.RaftMessage) -> ();
  introduce @1 (introduction :Introduction) -> (introduction :Introduction);
  forward @2 (request :ForwardedRequest) -> (response :ForwardedResponse);
}
