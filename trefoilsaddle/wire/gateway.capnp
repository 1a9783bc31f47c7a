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
  # Minus one: not stated.
  sequence @8 :Int64 = -1;
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
  confirmed @3 :Bool;
}

struct OwnershipTable {
  service @0 :Text;
  controller @1 :GatewayAddress;
  sequence @2 :Int64;
  resigned @3 :Bool;
  assignments @4 :List(Assignment);
  hold @5 :Float64;
  predecessors @6 :List(GatewayAddress);
  # Minus one: not stated.
  era @7 :Int64 = -1;
  incomplete @8 :Bool;
  # Minus one: not stated.
  unknownLeft @9 :Float64 = -1;
  lapsingLeft @10 :Float64 = -1;
  divided @11 :List(Text);
}

# The five structs below hold lists of a data class by column.

struct OwnerEntries {
  first @0 :List(UInt16);
  last @1 :List(UInt16);
  tag @2 :List(UInt32);
  serving @3 :List(Bool);
}

struct KeyCountList {
  key @0 :List(UInt16);
  requests @1 :List(UInt16);
}

struct ServerUses {
  tag @0 :List(UInt32);
  busy @1 :List(Float32);
  succeeded @2 :List(UInt16);
  failed @3 :List(UInt16);
  sampled @4 :List(Float32);
  samples @5 :List(UInt16);
}

struct ServerLoads {
  tag @0 :List(UInt32);
  busy @1 :List(Float32);
  serviceTime @2 :List(Float32);
}

struct ServerLimits {
  tag @0 :List(UInt32);
  rate @1 :List(Float32);
}

struct KeyCounts {
  service @0 :Text;
  counts @1 :KeyCountList;
}

struct Report {
  gateway @0 :GatewayAddress;
  elapsed @1 :Float64;
  uses @2 :ServerUses;
  keys @3 :List(KeyCounts);
  speed @4 :Float32;
  departed @5 :List(UInt32);
  controllerRun @6 :Int64;
  controllerTerm @7 :UInt32;
  configuration @8 :Int64;
  limits @9 :ServerLimits;
  leaving @10 :List(UInt32);
  askedAt @11 :Float64;
  greeting @12 :Greeting;
}

struct Greeting {
  region @0 :Text;
  linkRate @1 :Float32;
  followers @2 :UInt32;
  lostRelay @3 :Text;
}

struct OwnerNews {
  service @0 :Text;
  offset @1 :Int64;
  entries @2 :OwnerEntries;
  era @3 :Int64 = -1;
}

struct DrainedZones {
  zones @0 :List(Text);
  # Minus one: not stated.
  offset @1 :Int64 = -1;
  era @2 :Int64 = -1;
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
  loads @10 :ServerLoads;
  doubted @11 :List(Text);
  standbys @12 :List(Text);
  term @13 :UInt32;
  limits @14 :ServerLimits;
  stamp @15 :Float64;
  # No node: not stated.
  controller @16 :GatewayAddress;
  controllerAge @17 :Float64;
  # Minus one: not stated.
  configurationEnd @18 :Int64 = -1;
  era @19 :Int64 = -1;
  drained @20 :DrainedZones;
}

struct ClockAnswer {
  askedAt @0 :Float64;
  stamp @1 :Float64;
}

struct RelayNamed {
  relay @0 :GatewayAddress;
}

struct ConfigurationRead {
  known @0 :Int64;
}

struct ConfigurationCopy {
  deflated @0 :Data;
}

struct ControllerAnnouncement {
  controller @0 :GatewayAddress;
  offset @1 :Int64;
  era @2 :Int64;
  waits @3 :List(ServiceWait);
  provisional @4 :Bool;
}

struct ServiceWait {
  service @0 :Text;
  left @1 :Float64;
}

struct PeerMessage {
  union {
    # Reports and updates by row, up to version 0.1: gateways of that version
    # and later ones ignore each other's and read the store instead.
    rowReport @0 :Void;
    rowNews @1 :Void;
    configurationRead @2 :ConfigurationRead;
    configurationCopy @3 :ConfigurationCopy;
    # Whole tables of new controllers, up to version 0.1.
    tableAnnouncement @4 :Void;
    report @5 :Report;
    news @6 :News;
    clockAnswer @7 :ClockAnswer;
    relayNamed @8 :RelayNamed;
    controllerAnnouncement @9 :ControllerAnnouncement;
  }
}
