/** Control messages of opaque flows. Field numbers are permanent. */

/** An era belongs to the revision in the same struct; it is 0 if absent. */

/** Optional fields came later: older processes neither send nor need them. */
struct ServerState {
  1: i64 revision, 2: i64 born_ms, 3: bool evacuated, 4: i32 evacuated_for_ms,
  5: i32 cold_for_ms, 6: double bound_per_s, 7: double bound_lasts_s,
  8: optional bool draining, 9: optional i64 era
}
struct LoadAsk { 1: i32 slots, 2: optional ServerState state }
struct LoadTell {
  1: i32 flows, 2: i32 running, 3: i32 pace_ms, 4: bool stopping,
  5: optional i64 state_revision, 6: optional i64 state_era,
  7: optional string service_name
}

struct Target { 1: string service_name, 2: i32 weight }
struct Route {
  1: string name, 2: binary service_key, 3: string kind, 4: list<Target> targets,
  5: i32 priority, 6: double objective_ms, 7: double timeout_ms
}
struct Server {
  1: string server_id, 2: string service_name, 3: string host, 4: string zone,
  5: i32 slots, 6: bool draining, 7: double warm_in_s, 8: i64 created,
  9: i64 revision, 10: optional i64 born_ms, 11: optional i64 era,
  12: optional i64 created_era, 13: optional bool withdrawn
}
struct ColdBound { 1: string service_name, 2: double per_s, 3: double lasts_s }
struct Zone { 1: string name, 2: i64 revision, 3: optional i64 era }
struct ViewAsk {
  1: i64 revision, 2: i32 link_mbps, 3: optional i64 number, 4: optional i64 era,
  5: optional bool reads_pieces, 6: optional bool unserved
}
struct Member {
  1: string host, 2: i32 link_mbps, 3: i32 age_ms, 4: optional bool unserved
}
struct ViewTell {
  1: i64 revision, 2: i64 base, 3: i32 age_ms, 4: list<Member> members,
  5: i32 part, 6: i32 parts, 7: i64 version, 8: double idle_s,
  9: list<Route> routes, 10: list<binary> removed_routes,
  11: list<Server> servers, 12: list<string> removed_servers,
  13: i32 routes_total, 14: i32 servers_total,
  15: optional list<ColdBound> cold_bounds, 16: optional list<Zone> evacuated,
  17: optional list<Zone> returned, 18: optional i32 evacuated_total,
  19: optional i64 asked, 20: optional i64 era, 21: optional i32 placing_for_ms,
  22: optional i32 rerouted_for_ms, 23: optional i64 routes_digest,
  24: optional i32 reroutes_known_for_ms
}

/** data: a piece of a compressed ViewTell; members: only in the first piece. */
struct ViewPiece {
  1: i64 revision, 2: i64 base, 3: i32 age_ms, 4: list<Member> members,
  5: i32 part, 6: i32 parts, 7: binary data, 8: optional i64 asked,
  9: optional i64 era, 10: optional i32 placing_for_ms,
  11: optional i32 rerouted_for_ms, 12: optional i32 reroutes_known_for_ms
}

/** A message is followed by the CRC-32 of its bytes, 4 bytes, big-endian. */

/** heads: headers of packets of the flows; samples: sample packets. */
struct FlowsAsk { 1: i32 number, 2: i32 tag, 3: list<binary> heads, 4: list<binary> samples }
/**
 * Keys of flows; number: of the query, 0 for the result of sample packets;
 * age_ms: uptime of an unsure agent.
 */
struct FlowsTell {
  1: i32 number, 2: list<binary> present, 3: list<binary> absent,
  4: list<binary> unsure, 5: i32 flows, 6: i32 running, 7: i32 pace_ms,
  8: optional i32 age_ms
}

struct FlowMessage {
  1: i32 version,
  10: optional LoadAsk load_ask, 11: optional LoadTell load_tell,
  12: optional ViewAsk view_ask, 13: optional ViewTell view_tell,
  14: optional FlowsAsk flows_ask, 15: optional FlowsTell flows_tell,
  16: optional ViewPiece view_piece
}
