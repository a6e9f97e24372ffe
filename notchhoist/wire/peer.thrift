/** Messages between the processes of notchhoist. Field numbers are permanent. */

struct Endpoint { 1: string host, 2: i32 port }

struct Forward {
  1: string service_name, 2: Endpoint caller, 3: binary datagram, 4: i64 revision,
  5: i32 hops, 6: bool placed, 7: Endpoint balancer
}
struct Deliver {
  1: string service_name, 2: Endpoint caller, 3: binary datagram, 4: Endpoint owner
}
struct AskOwner { 1: string service_name, 2: Endpoint caller, 3: i64 revision }
struct TellOwner { 1: string service_name, 2: Endpoint caller, 3: optional Endpoint owner,
  4: i32 age_ms }
struct FlowRecord { 1: Endpoint caller, 2: Endpoint owner, 3: bool pinned,
  4: i32 age_ms }
struct Announce { 1: string service_name, 2: list<FlowRecord> flows }
struct AskFlows { 1: string service_name }
struct GrantRequest {
  1: string service_name, 2: binary identity, 3: binary attempt, 4: i32 purpose,
  5: i64 epoch, 6: i64 claim
}
struct GrantReply {
  1: string service_name, 2: binary identity, 3: binary attempt, 4: i32 purpose,
  5: i32 verdict, 6: optional Endpoint holder, 7: i64 epoch,
  8: i64 claim
}
struct AskRecords { 1: string service_name }
struct RecordEntry {
  1: binary identity, 2: i32 age_ms, 3: bool sealed, 4: optional Endpoint holder,
  5: i64 claim, 6: binary granted_attempt, 7: list<binary> fenced
}
struct AgentSet { 1: list<Endpoint> agents }
struct Records {
  1: string service_name, 2: bool complete, 3: list<Endpoint> vouchers,
  4: list<RecordEntry> records, 5: list<AgentSet> sets
}
struct RunRequest {
  1: string service_name, 2: i64 run, 3: Endpoint caller, 4: binary datagram,
  5: i32 remaining_ms, 6: bool may_queue,
  7: bool may_give_up
}
struct RunReply {
  1: string service_name, 2: i64 run, 3: i32 status, 4: binary datagram,
  5: i32 retry_after_s
}
struct AskOutcome {
  1: string service_name, 2: i64 run, 3: binary identity, 4: binary attempt
}
struct LoadReport {
  1: string service_name, 2: string server, 3: i32 free, 4: i32 in_flight,
  5: i32 queued, 6: bool leaving, 7: i64 incarnation, 8: i32 limit,
  9: i32 flows, 10: i32 service_ms
}
struct ConfigAsk { 1: i64 revision, 2: string service_name, 3: string zone }
struct ConfigDiff {
  1: i64 revision, 2: i64 base, 3: list<binary> changed,
  4: list<string> removed, 5: binary balancers, 6: string service_name
}
struct LeavingHosts { 1: list<string> names }
struct Ping { 1: i64 nonce }
struct Pong { 1: i64 nonce }

struct Envelope {
  1: i32 version, 2: Endpoint sender,
  10: optional Forward forward, 11: optional Deliver deliver,
  12: optional AskOwner ask_owner, 13: optional TellOwner tell_owner,
  14: optional Announce announce, 15: optional AskFlows ask_flows,
  16: optional GrantRequest grant_request, 17: optional GrantReply grant_reply,
  18: optional RunRequest run_request, 19: optional RunReply run_reply,
  20: optional AskOutcome ask_outcome, 21: optional LoadReport load_report,
  22: optional ConfigAsk config_ask, 23: optional ConfigDiff config_diff,
  24: optional Ping ping, 25: optional Pong pong,
  26: optional LeavingHosts leaving_hosts,
  27: optional AskRecords ask_records, 28: optional Records records
}
