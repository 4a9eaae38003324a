/**
 * Messages between routers about claims of non-idempotent calls.
 *
 * Transport: framed. Protocol: compact. Deadlines are wall-clock milliseconds since 1970-01-01 UTC.
 */
namespace java io.laburnummoor.wire.generated

enum ClaimOutcomeKind {
  GRANTED = 0
  ALREADY_CLAIMED = 1
  ALREADY_DONE = 2
  KEY_REUSED = 3
  RECORDED = 4
  REJECTED = 5
  UNAVAILABLE = 6
  UNAVAILABLE_FIRST_USE = 7
}

struct ClaimResult {
  1: required i32 status
  2: required string contentType
  /** Absent if the body was larger than the recording limit. */
  3: optional string bodyBase64
  4: required i32 sizeBytes
}

/** A command about one key. */
struct ClaimItem {
  1: required string organisation
  2: required string key
  3: required string nonce
  4: required string claimant
  5: required string bodyDigest
  6: required i64 deadlineMillis
  /** Present in a completion. */
  7: optional ClaimResult result
}

/** Commands about keys of one partition. */
struct ClaimBatch {
  1: required i32 partition
  /** Whether the caller could not reach the holder, so that the callee may take the partition over. */
  2: required bool takeOver
  3: required list<ClaimItem> items
}

struct ClaimItemReply {
  1: required ClaimOutcomeKind kind
  2: optional ClaimResult result
}

struct ClaimBatchReply {
  /** Name of the router that holds the partition; the batch was not handled if it is not the callee. */
  1: required string holder
  /** One reply for each item, in the order of the items; empty if the batch was not handled. */
  2: required list<ClaimItemReply> replies
}

/** A service between routers. */
service ClaimService {
  ClaimBatchReply claim(1: ClaimBatch batch)
  ClaimBatchReply completeClaim(1: ClaimBatch batch)
  ClaimBatchReply releaseClaim(1: ClaimBatch batch)
}
