// Messages between entries and agents. One Envelope per frame, with exactly
// one field set. Frames have a 4-byte length. Times are milliseconds.
namespace py hyssopring.protocol.generated

struct Resources {
  1: required double cores
  2: required double memory_gb
  3: required i32 accelerators
}

struct Challenge {
  1: required i32 version
  2: required string entry_id
  3: required string nonce
}

struct Hello {
  1: required i32 version
  2: required string agent_id
  3: required string incarnation
  4: required string zone
  5: required string rack
  6: required string proof
  7: required Resources capacity
  8: required i64 configuration_version
}

struct Welcome {
  1: required string entry_id
  2: required i64 configuration_version
}

struct EntryMember {
  1: required string entry_id
  2: required string address
  3: required string zone
}

struct EntryList {
  1: required list<EntryMember> members
  2: required list<string> holders
}

struct Refusal {
  1: required string kind
  2: required string detail
}

struct BackendReport {
  1: required string service_name
  2: required string backend_id
  3: required i32 slots
  4: required i32 connections
  5: required bool leaving
  6: required i32 in_flight
  7: required i32 queued
  8: required double latency_ms
  9: required double tail_ms
}

struct TaskStatus {
  1: required string task_id
  2: required i32 shard
  3: required i64 epoch
  4: required i32 attempt
  5: required string phase
  6: required string checkpoint
  7: required string detail
}

struct TaskUsage {
  1: required string service_name
  2: required string kind
  3: required i32 urgency
  4: required i32 running
  5: required Resources reserved
  6: required Resources used
  7: required double share
}

struct Heartbeat {
  1: required i64 sequence
  2: required i64 configuration_version
  3: required list<BackendReport> backends
  4: required Resources free
  5: required bool stopping
  6: required list<TaskUsage> usage
  7: required string worker_boot
}

struct LeaseGrant {
  1: required i32 shard
  2: required i64 epoch
  3: required double batch_ttl_ms
  4: required double keeper_ttl_ms
}

struct HeartbeatAck {
  1: required i64 sequence
  2: required i64 configuration_version
  3: required list<LeaseGrant> grants
  4: required double next_ms
}

struct Header {
  1: required string name
  2: required string text
}

struct CallRequest {
  1: required string request_id
  2: required string service_name
  3: required string method
  4: required string path
  5: required list<Header> headers
  6: required binary body
  7: required double budget_ms
  8: required i32 urgency
  9: required bool idempotent
  10: required i64 after
}

struct CallResponse {
  1: required string request_id
  2: required string outcome
  3: required i32 status
  4: required list<Header> headers
  5: required binary body
  6: required string error
  7: required string detail
  8: required i32 retry_after_ms
  9: required i32 in_flight
  10: required i32 queued
}

struct CancelCall {
  1: required string request_id
}

struct OutcomeQuery {
  1: required string request_id
  2: required i64 after
  3: required bool peek
}

struct Ping {
  1: required i64 sequence
}

struct Pong {
  1: required i64 sequence
}

struct ConfigurationItem {
  1: required string key
  2: required i64 version
  3: required string document
}

struct ConfigurationUpdate {
  1: required i64 base_version
  2: required i64 version
  3: required list<ConfigurationItem> items
}

struct ConfigurationQuery {
  1: required i64 version
}

struct StartTask {
  1: required string task_id
  2: required i32 shard
  3: required i64 epoch
  4: required i32 attempt
  5: required string kind
  6: required string service_name
  7: required Resources size
  8: required string checkpoint
  9: required double run_ms
  10: required i32 urgency
  11: required string worker_boot
}

struct StopTask {
  1: required string task_id
  2: required i32 shard
  3: required i64 epoch
  4: required i32 attempt
  5: required string mode
}

struct ThrottleTask {
  1: required string task_id
  2: required i32 shard
  3: required i64 epoch
  4: required i32 attempt
  5: required double share
}

struct TaskReport {
  1: required list<TaskStatus> tasks
  2: required bool complete
  3: required i32 shard
  4: required i64 epoch
  5: required string worker_boot
}

struct TaskReportAck {
  1: required list<TaskStatus> tasks
}

union Envelope {
  1: Challenge challenge
  2: Hello hello
  3: Welcome welcome
  4: Refusal refusal
  5: Heartbeat heartbeat
  6: HeartbeatAck heartbeat_ack
  7: CallRequest call_request
  8: CallResponse call_response
  9: CancelCall cancel_call
  10: OutcomeQuery outcome_query
  11: ConfigurationUpdate configuration_update
  12: ConfigurationQuery configuration_query
  13: StartTask start_task
  14: StopTask stop_task
  15: TaskReport task_report
  16: TaskReportAck task_report_ack
  17: EntryList entry_list
  18: ThrottleTask throttle_task
  19: Ping ping
  20: Pong pong
}
