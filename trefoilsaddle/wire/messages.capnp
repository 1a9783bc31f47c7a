@0xd0b2f4a1c3e59687;
# Messages between the system's own processes.  Every struct and field has
# the name of its data class in trefoilsaddle.core, in camel case; the codec
# pairs them by name when it is imported and refuses to start on a mismatch.
# Fields are only ever added, at the end, with the next number.

struct Epoch {
  offset @0 :Int64;
  sequence @1 :Int64;
}

struct ShardId {
  service @0 :Text;
  number @1 :Int64;
}

struct IdempotencyKey {
  created @0 :Float64;
  token @1 :Text;
}

struct Request {
  service @0 :Text;
  member @1 :Text;
  rank @2 :UInt16;
  key @3 :Data;
  method @4 :Text;
  path @5 :Text;
  contentType @6 :Text;
  body @7 :Data;
  idempotent @8 :Bool;
  idempotencyKey @9 :IdempotencyKey;
  remaining @10 :Float64;
}

struct Reply {
  status @0 :UInt16;
  contentType @1 :Text;
  body @2 :Data;
}

enum Outcome {
  answered @0;
  notRun @1;
  unknown @2;
}

struct Answer {
  outcome @0 :Outcome;
  # Number of the result code; see trefoilsaddle.results.
  code @1 :UInt16;
  reply @2 :Reply;
  retryAfter @3 :Float64;
}

struct Pressure {
  server @0 :Text;
  waits @1 :List(Float64);
  holds @2 :List(Float64);
  crowding @3 :List(Text);
}

struct Forward {
  attempt @0 :Int64;
  server @1 :Text;
  request @2 :Request;
}

struct ForwardAnswer {
  attempt @0 :Int64;
  answer @1 :Answer;
  owner @2 :Text;
  holder @3 :Text;
  applied @4 :Int64;
  pressure @5 :Pressure;
}

struct Abandon {
  attempt @0 :Int64;
}

enum Health {
  alive @0;
  suspect @1;
  dead @2;
  leaving @3;
}

struct Rumour {
  node @0 :Text;
  zone @1 :Text;
  host @2 :Text;
  port @3 :UInt16;
  dispatches @4 :Bool;
  health @5 :Health;
  incarnation @6 :Int64;
}

struct ServerLoad {
  server @0 :Text;
  dispatcher @1 :Text;
  utilisation @2 :Float64;
  rate @3 :Float64;
  sequence @4 :Int64;
}

struct Ping {
  sequence @0 :Int64;
  relayFor @1 :Text;
  rumours @2 :List(Rumour);
  loads @3 :List(ServerLoad);
}

struct Ack {
  sequence @0 :Int64;
  subject @1 :Text;
  rumours @2 :List(Rumour);
  loads @3 :List(ServerLoad);
}

struct PingRequest {
  sequence @0 :Int64;
  target @1 :Text;
}

struct PromiseRequest {
  server @0 :Text;
  term @1 :Epoch;
  sequence @2 :Int64;
  duration @3 :Float64;
}

struct Promise {
  server @0 :Text;
  term @1 :Epoch;
  sequence @2 :Int64;
  granted @3 :Bool;
  moves @4 :List(MovedShard);
  unloggedTerm @5 :Epoch;
}

struct MovedShard {
  shard @0 :ShardId;
  expected @1 :Epoch;
  target @2 :Text;
  provisional @3 :Epoch;
}

struct ShareMove {
  server @0 :Text;
  term @1 :Epoch;
  sequence @2 :Int64;
  shards @3 :List(MovedShard);
}

struct ShareMoveAck {
  server @0 :Text;
  term @1 :Epoch;
  sequence @2 :Int64;
}

struct ProvisionalMove {
  server @0 :Text;
  term @1 :Epoch;
  shards @2 :List(MovedShard);
}

struct ProvisionalClaim {
  server @0 :Text;
  term @1 :Epoch;
  dispatcher @2 :Text;
}

struct KeptOutcome {
  member @0 :Text;
  created @1 :Float64;
  token @2 :Text;
  fingerprint @3 :UInt64;
  answer @4 :Answer;
  keyHash @5 :UInt64;
}

struct MemberFloor {
  member @0 :Text;
  floor @1 :Float64;
}

struct Handover {
  shard @0 :ShardId;
  epoch @1 :Epoch;
  floor @2 :Float64;
  outcomes @3 :List(KeptOutcome);
  memberFloors @4 :List(MemberFloor);
  term @5 :Epoch;
}

struct RelayRead {
  sequence @0 :Int64;
  start @1 :Int64;
}

struct Publication {
  recordId @0 :Text;
  expected @1 :Int64;
  site @2 :Text;
  document @3 :Text;
  merge @4 :Bool;
}

struct Placement {
  server @0 :Text;
  shards @1 :List(Int64);
}

struct Assign {
  recordId @0 :Text;
  service @1 :Text;
  placements @2 :List(Placement);
}

struct Claim {
  recordId @0 :Text;
  server @1 :Text;
  expected @2 :Epoch;
  dispatcher @3 :Text;
  claimSet @4 :List(Text);
  provisional @5 :Epoch;
}

struct Move {
  recordId @0 :Text;
  server @1 :Text;
  term @2 :Epoch;
  shards @3 :List(MovedShard);
}

struct SplitKey {
  recordId @0 :Text;
  server @1 :Text;
  term @2 :Epoch;
  parent @3 :ShardId;
  keyHash @4 :UInt64;
  active @5 :Bool;
}

struct LostZone {
  recordId @0 :Text;
  zone @1 :Text;
  lost @2 :Bool;
}

struct Snapshot {
  recordId @0 :Text;
  covers @1 :Int64;
  part @2 :Int64;
  parts @3 :Int64;
  text @4 :Text;
}

struct Record {
  union {
    publication @0 :Publication;
    assign @1 :Assign;
    claim @2 :Claim;
    move @3 :Move;
    splitKey @4 :SplitKey;
    lostZone @5 :LostZone;
    snapshot @6 :Snapshot;
  }
}

struct LogEntry {
  offset @0 :Int64;
  records @1 :List(Record);
}

struct RelayEntries {
  sequence @0 :Int64;
  entries @1 :List(LogEntry);
  first @2 :Int64;
  tail @3 :Int64;
}

struct RelayFailed {
  sequence @0 :Int64;
}

struct StateRead {
  sequence @0 :Int64;
  applied @1 :Int64;
}

struct StateReply {
  sequence @0 :Int64;
  applied @1 :Int64;
  text @2 :Text;
}

struct DumpRead {
  sequence @0 :Int64;
}

struct DumpReply {
  sequence @0 :Int64;
  text @1 :Text;
}

struct Message {
  union {
    forward @0 :Forward;
    forwardAnswer @1 :ForwardAnswer;
    abandon @2 :Abandon;
    ping @3 :Ping;
    ack @4 :Ack;
    pingRequest @5 :PingRequest;
    promiseRequest @6 :PromiseRequest;
    promise @7 :Promise;
    shareMove @8 :ShareMove;
    shareMoveAck @9 :ShareMoveAck;
    provisionalMove @10 :ProvisionalMove;
    provisionalClaim @11 :ProvisionalClaim;
    handover @12 :Handover;
    relayRead @13 :RelayRead;
    relayEntries @14 :RelayEntries;
    relayFailed @15 :RelayFailed;
    stateRead @16 :StateRead;
    stateReply @17 :StateReply;
    dumpRead @18 :DumpRead;
    dumpReply @19 :DumpReply;
  }
}

# First frame in each direction of a connection.
struct Hello {
  protocol @0 :UInt16;
  node @1 :Text;
  # Random for each connection, so that a recorded proof cannot be replayed.
  nonce @2 :Data;
  # True if the sender can be dialled; otherwise it is answered on the same
  # connection.
  listens @3 :Bool;
}

# Proves that the sender knows the shared secret.
struct Proof {
  digest @0 :Data;
}

struct Greeting {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
  }
}
