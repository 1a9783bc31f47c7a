@0xc1a7f3e2b95d4086;
# Messages between gateways, and the ownership tables in the store.
# Every struct and field has the name of its data class in
# trefoilsaddle.gateway, in camel case.  Fields are only ever added, at the
# end, with the next number.

struct KeyRange {
  first @0 :Int64;
  last @1 :Int64;
}

struct ServerLife {
  server @0 :Text;
  born @1 :Int64;
}

struct Server {
  life @0 :ServerLife;
  service @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  zone @4 :Text;
  slots @5 :Int64;
  draining @6 :Bool;
  warmUpLeft @7 :Float64;
}

struct GatewayAddress {
  node @0 :Text;
  run @1 :Int64;
  host @2 :Text;
  port @3 :UInt16;
}

struct Assignment {
  keys @0 :KeyRange;
  life @1 :ServerLife;
  fence @2 :Int64;
}

struct OwnershipTable {
  service @0 :Text;
  controller @1 :GatewayAddress;
  sequence @2 :Int64;
  resigned @3 :Bool;
  assignments @4 :List(Assignment);
  hold @5 :Float64;
  predecessors @6 :List(GatewayAddress);
}

struct OwnerEntry {
  first @0 :UInt16;
  last @1 :UInt16;
  tag @2 :UInt32;
  serving @3 :Bool;
}

struct KeyCount {
  key @0 :UInt16;
  requests @1 :UInt16;
}

struct KeyCounts {
  service @0 :Text;
  counts @1 :List(KeyCount);
}

struct ServerUse {
  tag @0 :UInt32;
  busy @1 :Float32;
  succeeded @2 :UInt16;
  failed @3 :UInt16;
  sampled @4 :Float32;
  samples @5 :UInt16;
}

struct Report {
  gateway @0 :GatewayAddress;
  elapsed @1 :Float64;
  uses @2 :List(ServerUse);
  keys @3 :List(KeyCounts);
  speed @4 :Float32;
}

struct ServerLoad {
  tag @0 :UInt32;
  busy @1 :Float32;
  serviceTime @2 :Float32;
}

struct OwnerNews {
  service @0 :Text;
  offset @1 :Int64;
  entries @2 :List(OwnerEntry);
}

struct News {
  run @0 :Int64;
  reporting @1 :UInt32;
  gateways @2 :List(GatewayAddress);
  configuration @3 :Int64;
  configurationAge @4 :Float64;
  serversAge @5 :Float64;
  serversWhole @6 :Bool;
  servers @7 :List(Server);
  removed @8 :List(Text);
  owners @9 :List(OwnerNews);
  loads @10 :List(ServerLoad);
  doubted @11 :List(Text);
  standbys @12 :List(Text);
}

struct ConfigurationRead {
  known @0 :Int64;
}

struct ConfigurationCopy {
  deflated @0 :Data;
}

struct TableAnnouncement {
  offset @0 :Int64;
  table @1 :OwnershipTable;
}

struct PeerMessage {
  union {
    report @0 :Report;
    news @1 :News;
    configurationRead @2 :ConfigurationRead;
    configurationCopy @3 :ConfigurationCopy;
    tableAnnouncement @4 :TableAnnouncement;
  }
}
