@0xc1f6a3b5d2e48790;

# Messages between the hosts of a deployment. Fields are only ever added, and
# `protocolVersion` goes up when a change is not understood by older hosts.

const protocolVersion :UInt16 = 1;

interface Gate {
  # What a host offers before it knows who calls.
  challenge @0 () -> (nonce :Data, version :UInt16);
  # Proves the shared key: the tag is an HMAC over the nonce and the name.
  open @1 (host :Text, incarnation :UInt64, tag :Data, version :UInt16) -> (session :Session);
}

interface Session {
  # What a host offers to another host of its deployment.
  heartbeat @0 (beat :Heartbeat) -> (position :Position);
  exchange @1 (position :Position, summaries :List(Summary))
      -> (position :Position, entries :List(Data), snapshot :Data, summaries :List(Summary));
  push @2 (entry :Data) -> (position :Position);
  borrow @3 (limit :Data, request :LoanRequest) -> (granted :Bool, grant :LoanGrant);
}

struct Host {
  name @0 :Text;
  zone @1 :Text;
  callerAddress @2 :Text;
  relayAddress @3 :Text;
  peerAddress @4 :Text;
  operatorAddress @5 :Text;
}

struct Heartbeat {
  host @0 :Host;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  leaving @3 :Bool;
  doubts @4 :List(Text);
  position @5 :Position;
  loads @6 :List(Load);
  lenders @7 :List(Text);
  vouches @8 :List(Text);
}

struct Position {
  revision @0 :UInt64;
  digest @1 :Text;
}

struct Load {
  service @0 :Text;
  inFlight @1 :UInt32;
  capacity @2 :UInt32;
  queued @3 :UInt32;
  latencyMs @4 :Float64;
}

struct Summary {
  # A zone as one of its hosts sees it.
  zone @0 :Text;
  ageMs @1 :UInt32;
  loads @2 :List(Load);
  hosts @3 :List(Host);
}

struct LoanRequest {
  borrower @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  keep @3 :UInt32;
  want @4 :UInt32;
}

struct LoanGrant {
  sequence @0 :UInt64;
  total @1 :UInt32;
}
