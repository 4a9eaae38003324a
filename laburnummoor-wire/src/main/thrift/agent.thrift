/**
 * Messages between the processes of the system.
 *
 * Transport: framed. Protocol: compact. Times are milliseconds; deadlines are wall-clock milliseconds since 1970-01-01 UTC.
 */
namespace java io.laburnummoor.wire.generated

struct WireToken {
  1: required i32 id
  2: required string text
}

struct WireBinding {
  1: required string serviceName
  2: required string version
  3: required string adapter
  4: required i64 seed
}

struct WireRequestId {
  1: required string organisation
  2: required string key
}

/** State of the agent and of the upstream beside it. */
struct AgentStatus {
  1: required string agentId
  /** Differs for each start of the agent. */
  2: required i64 agentIncarnation
  3: required bool upstreamAlive
  /** Differs for each start of the upstream, 0 while none answers. */
  4: required i64 upstreamIncarnation
  5: required bool leaving
  6: required i32 runningCount
  7: required i32 waitingCount
  8: required string version
  9: required list<string> adapters
}

enum OpenMode {
  /** Read the entry only. */
  READ = 0
  /** Create the entry or replace one with a lower epoch. */
  WRITE = 1
  /** Become the writer of the entry and read it in one step; a finished entry is read only. */
  TAKE_OVER = 2
}

/** The part of an answer that was written under one epoch. */
struct WireEpochSpan {
  1: required i64 epoch
  /** Offset of the first token that may have been written under this epoch. */
  2: required i32 startOffset
}

struct OpenRequest {
  1: required WireRequestId id
  2: required OpenMode mode
  /** For TAKE_OVER. */
  3: optional i64 epoch
  4: optional string writer
  5: optional WireBinding binding
  6: optional string bodyDigest
  7: optional list<WireToken> tokens
  /** For WRITE: all epochs of the answer, the last one that of the writer. */
  8: optional list<WireEpochSpan> history
  9: optional bool callerAttached
}

struct JournalEntryMessage {
  1: required list<WireEpochSpan> history
  2: required string writer
  3: required WireBinding binding
  4: required string bodyDigest
  5: required list<WireToken> tokens
  6: optional string finishReason
  /** Whether the writer has appended or renewed within its liveness deadline. */
  7: required bool writerAlive
  /** Whether the writer has reported an attached caller. */
  8: required bool callerAttached
}

struct OpenReply {
  1: required bool accepted
  /** READ and TAKE_OVER: the entry as it is now. WRITE: the entry that stands in the way, if there is one. */
  2: optional JournalEntryMessage found
}

struct AppendItem {
  1: required WireRequestId id
  2: required i64 epoch
  3: required i32 offset
  4: required list<WireToken> tokens
  5: optional string finishReason
  6: required bool callerAttached
}

struct AppendBatch {
  1: required string writer
  2: required list<AppendItem> items
}

enum AppendOutcome {
  ACKNOWLEDGED = 0
  FENCED = 1
  MISSING = 2
}

struct AppendReply {
  /** One outcome for each item, in the order of the items. */
  1: required list<AppendOutcome> outcomes
}

/** A service of the process beside an upstream. */
service AgentService {
  AgentStatus status(1: string caller)
  OpenReply openJournal(1: OpenRequest request)
  AppendReply append(1: AppendBatch batch)
}
