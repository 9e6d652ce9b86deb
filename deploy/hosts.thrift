// Messages between hosts on the users' platform, sent as datagrams: one byte
// with the number of the type (0 RankStatus, 1 Intent, 2 LoadReport,
// 3 Subscribe, 4 ExpertDemand, 5 EntryList,
// 6 Roster, 7 LoadBatch), then the struct in the compact protocol.
// internal/datagram/messages.py has the same structs and explains the fields.

struct RankStatus {
  1: i64 term,
  2: string group,
  3: i64 epoch,
  4: i32 rank,
  5: i32 size,
  6: bool is_open,
  7: i64 step,
  8: i64 map_version,
  9: i64 prepared,
  10: i64 armed_version,
  11: i64 armed_step,
  12: i64 held_step,
  13: i64 ordered_version,
  14: i64 refused_version,
  18: string address,
  19: binary experts,
  20: bool knows_map,
}

struct Intent {
  1: i64 term,
  2: string group,
  3: i64 epoch,
  4: i32 phase,
  5: i64 version,
  6: i64 step,
  7: i32 holder,
  9: i64 serial,
  10: binary full_map,
  11: i64 base_version,
  12: binary moves,
  13: i64 checksum,
  14: binary forward_to,
  15: bool wants_status,
}

struct ExpertDemand {
  1: string group,
  2: i64 epoch,
  3: i32 rank,
  4: bool is_sum,
  5: i32 ranks,
  6: binary counts,
}

struct LoadReport {
  1: string target,
  2: i32 running,
  3: i32 waiting,
  4: i32 entries,
  5: bool is_open,
  6: i64 step,
  7: i64 memory_used,
  8: string group,
  9: i32 pass_ms,
  10: i32 period_ms,
}

struct Subscribe {
  1: string node,
  2: bool wants_entries,
  3: bool reads_batches,
  4: binary demand,
}

struct EntryList {
  1: binary ips,
  2: binary demand,
}

struct Roster {
  1: i64 term,
  2: string group,
  3: i64 epoch,
  4: binary standby_ranks,
  5: binary standby_ips,
  6: binary collector_ranks,
  7: binary collector_ips,
  8: string address,
}

struct LoadBatch {
  1: string group,
  2: i32 period_ms,
  3: binary rows,
}

struct PromptSuspect {
  1: string service,
  2: string parts,
  3: string crash_id,
  4: i32 evidence,
}

struct PromptHold {
  1: string service,
  2: string parts,
  3: i32 crashes,
  4: i32 left_ms,
}

struct PromptAnswered {
  1: string service,
  2: string parts,
}

struct PromptHoldsWanted {
  1: string node,
}
