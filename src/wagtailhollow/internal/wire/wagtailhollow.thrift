/*
 * Messages between the processes of one deployment.
 *
 * Each frame on a connection is a 4-byte big-endian length followed by one
 * Envelope in the compact protocol. Regenerate gen/ with `make thrift` after
 * a change; tests/cover/test_wire_generated.py fails while the two differ.
 *
 * Times named *_ms are milliseconds. A clock named agent_clock_ms is the
 * agent's own monotonic clock and is only ever compared with itself.
 */
namespace py gen

enum Role { ENTRY = 1, AGENT = 2, OPERATOR = 3 }

enum TargetState { STARTING = 1, IN_SERVICE = 2, DRAINING = 3, WITHDRAWN = 4, FAILED = 5 }

enum OutcomeState { NOT_RUN = 1, IN_PROGRESS = 2, DONE = 3, UNKNOWN = 4 }

struct Hello {
  1: i32 protocol
  2: string node
  3: Role role
  4: string data_centre
  5: string deployment
  6: i64 incarnation
  7: binary nonce
  8: list<string> key_ids
  9: string address
}

struct HelloProof {
  1: string key_id
  2: binary mac
}

struct DocumentVersion {
  1: string name
  2: i64 version
}

/* Load of the one target beside an agent. */
struct TargetLoad {
  1: string target
  2: string service_name
  3: TargetState state
  4: i32 running
  5: i32 queued
  6: i32 cap
  7: i64 generation
  8: i64 agent_clock_ms
  9: i64 report_age_ms
  10: double first_token_ms
  11: list<string> models
  12: i32 cap_limit
}

struct Heartbeat {
  1: i64 sent_at_ms
  2: list<DocumentVersion> documents
  3: optional TargetLoad load
  4: bool draining
  5: optional i64 echo_sent_at_ms
  6: optional binary group_summary
}

struct DocumentFetch {
  1: string name
  2: i64 have_version
}

/* rows: JSON object, row key to row; from_version 0 means the whole document. */
struct DocumentDelta {
  1: string name
  2: i64 from_version
  3: i64 to_version
  4: binary rows
  5: list<string> removed
}

struct ClaimTicket {
  1: string key
  2: string nonce
  3: i64 issued_agent_clock_ms
}

struct Dispatch {
  1: string call_id
  2: i32 attempt
  3: string target
  4: i64 incarnation
  5: i32 deadline_in_ms
  6: i64 table_version
  7: string organisation
  8: string service_name
  9: string method
  10: string path
  11: map<string, string> headers
  12: binary body
  13: i32 priority
  14: i32 window_bytes
  15: optional ClaimTicket claim
}

struct DispatchReply {
  1: bool accepted
  2: optional string kind
  3: optional string message
  4: optional TargetLoad load
}

struct ResponseHead {
  1: string call_id
  2: i32 attempt
  3: i32 status
  4: map<string, string> headers
}

struct Chunk {
  1: string call_id
  2: i32 attempt
  3: i64 offset
  4: binary data
}

struct End {
  1: string call_id
  2: i32 attempt
  3: i64 total_bytes
}

struct Abort {
  1: string call_id
  2: i32 attempt
  3: string kind
  4: string message
}

struct Window {
  1: string call_id
  2: i32 attempt
  3: i32 bytes
}

struct CancelCall {
  1: string call_id
  2: i32 attempt
}

struct Resume {
  1: string call_id
  2: i32 attempt
  3: string target
  4: i64 offset
  5: i32 window_bytes
  6: i32 deadline_in_ms
  7: string organisation
  8: string service_name
}

struct CancelIfNotStarted {
  1: ClaimTicket claim
  2: string target
  3: i64 incarnation
}

struct CallOutcome {
  1: OutcomeState state
  2: optional i32 status
  3: optional map<string, string> headers
  4: optional binary body
}

struct BlockRequest {
  1: string organisation
  2: string entry
  3: i64 requests
  4: i64 tokens
  5: i32 concurrent
}

struct BlockGrant {
  1: string organisation
  2: i64 requests
  3: i64 tokens
  4: i32 concurrent
  5: i32 valid_for_ms
  6: optional string kind
  7: string block_id
}

struct BlockReturn {
  1: string organisation
  2: string block_id
  3: i64 requests
  4: i64 tokens
}

/* Number of a switch round; compared field by field in this order. */
struct Ballot {
  1: i64 fencing
  2: i32 attempt
  3: string node
}

struct StageMap {
  1: string group
  2: i64 fencing
  3: i64 epoch
  4: binary placement
}

struct HoldRank {
  1: string group
  2: Ballot ballot
  3: i64 epoch
}

struct ActivateMap {
  1: string group
  2: Ballot ballot
  3: i64 incarnation
  4: i64 epoch
}

struct ReleaseRank {
  1: string group
  2: Ballot ballot
  3: i64 incarnation
  4: i64 epoch
}

struct RankState {
  1: string group
  2: i32 rank
  3: i64 incarnation
  4: i64 epoch
  5: i64 staged_epoch
  6: i64 step
  7: bool held
  8: Ballot promised
  9: bool accepted
  10: optional string kind
}

struct ExpertLoadRequest {
  1: string group
}

/*
 * Counters of one rank since the start of its engine: by layer the tokens by
 * expert, and the seconds spent computing.
 */
struct ExpertLoad {
  1: i32 rank
  2: list<list<i64>> layers
  3: double busy_seconds
}

struct StatusRequest {
  1: string what
  2: optional binary argument
}

struct StatusReply {
  1: binary json_text
}

struct Reject {
  1: string kind
  2: string message
}

struct Ack {
}

union Body {
  1: Hello hello
  2: HelloProof hello_proof
  3: Heartbeat heartbeat
  4: DocumentFetch document_fetch
  5: DocumentDelta document_delta
  6: Dispatch dispatch
  7: DispatchReply dispatch_reply
  8: ResponseHead response_head
  9: Chunk chunk
  10: End end
  11: Abort abort
  12: Window window
  13: CancelCall cancel_call
  14: Resume resume
  15: CancelIfNotStarted cancel_if_not_started
  16: CallOutcome call_outcome
  17: BlockRequest block_request
  18: BlockGrant block_grant
  19: BlockReturn block_return
  20: StageMap stage_map
  21: HoldRank hold_rank
  22: ActivateMap activate_map
  23: ReleaseRank release_rank
  24: RankState rank_state
  25: StatusRequest status_request
  26: StatusReply status_reply
  27: Reject reject
  28: Ack ack
  29: ExpertLoadRequest expert_load_request
  30: ExpertLoad expert_load
}

/* request_id 0: one-way. is_reply: answers the request of that number. */
struct Envelope {
  1: i64 request_id
  2: bool is_reply
  3: Body body
}
