@0xc1f6a3b5d2e48790;

# Messages between the hosts of a deployment. `protocolVersion` goes up when a
# change is not understood by older hosts. Version 1, in which each heartbeat
# named its host and each load its service, was never released.

const protocolVersion :UInt16 = 11;

interface Gate {
  # What a host offers before it knows who calls.
  challenge @0 () -> (nonce :Data, version :UInt16);
  # Proves the shared key: the tag is an HMAC over the nonce and the name.
  open @1 (host :Host, incarnation :UInt64, tag :Data, version :UInt16) -> (session :Session);
  # All that this host has applied from a feed of the store, or the changes since a version, in
  # pages. Version 0 says that it is still reading the feed; an error that it does not have what
  # is queried. The query is JSON; `records` has, in the postcard format, whether the feed is
  # whole, the records of the page, and the cursor of the next one. Up to version 10 there were no
  # pages, and version 0 said that the host can't tell. Also for hosts that can't reach the store and so don't hold the key; the store
  # tells the same to whoever reaches it. `ageMs` is the age of the store's answer on which it rests;
  # up to version 8 it was not told.
  state @2 (query :Data) -> (version :UInt64, records :Data, ageMs :UInt32);
}

interface Session {
  # What a host offers to another host of its deployment.
  heartbeat @0 (beat :Heartbeat) -> (revision :UInt64);
  exchange @1 (position :Position, summaries :List(Summary))
      -> (position :Position, entries :List(Data), snapshot :Data, summaries :List(Summary));
  push @2 (entry :Data) -> (position :Position);
  news @4 (feed :Data, version :UInt64, digest :UInt64, records :Data, store :Data,
      ageMs :UInt32, sinceReplyMs :UInt32) -> ();
  # What is new in a feed of the store. Records are in the postcard format, the other data
  # fields are JSON. Version 2 of the protocol did not have it; version 3 had all records since
  # a position in place of a digest; version 4 had them as JSON; up to version 6 `store` was the
  # time since the store had come back, where the teller had found it away. `ageMs` is the age of
  # the store's answer on which the news rest; `sinceReplyMs` is the time since the reply to the news
  # of this feed before, or since `open`. Up to version 8 there was neither.
  borrow @3 (limit :Data, request :LoanRequest) -> (granted :Bool, grant :LoanGrant);
  # Asks or tells what hosts keep together: tokens of customers' allowances, tokens of limits that
  # upstreams name, work under which upstreams end. Both are in the postcard format; version 5
  # did not have it, up to version 7 it knew the first only; up to
  # version 9 work was told by its object alone.
  tokens @5 (ask :Data) -> (reply :Data);
}

struct Host {
  name @0 :Text;
  zone @1 :Text;
  # Empty where the message says the zone of all its hosts.
  callerV4 @2 :UInt32;
  callerPort @3 :UInt16;
  relayV4 @4 :UInt32;
  relayPort @5 :UInt16;
  peerV4 @6 :UInt32;
  peerPort @7 :UInt16;
  operatorV4 @8 :UInt32;
  operatorPort @9 :UInt16;
  v6 @10 :List(Data);
  # Four of sixteen bytes, in the order above, where any address is IPv6; else empty.
}

struct Heartbeat {
  # Of the host and the start that the session was opened for.
  sequence @0 :UInt64;
  revision @1 :UInt64;
  leaving @2 :Bool;
  doubts @3 :List(Text);
  vouches @4 :List(Text);
  lenders @5 :List(Text);
  loads @6 :List(Load);
  # What the host tells about itself, in the postcard format; empty where it tells nothing.
  condition @7 :Data;
}

struct Position {
  revision @0 :UInt64;
  digest @1 :Text;
}

struct Load {
  # Hash of the service's name; whoever does not know it yet drops the load.
  service @0 :UInt64;
  inFlight @1 :UInt32;
  capacity @2 :UInt32;
  queued @3 :UInt32;
  latencyMs @4 :Float32;
}

struct Summary {
  # A zone as one of its hosts sees it.
  zone @0 :Text;
  ageMs @1 :UInt32;
  loads @2 :List(Load);
  # Empty where the sender leaves them out this time.
  hosts @3 :List(Host);
  hostsAgeMs @4 :UInt32;
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
