/**
 * Evidence about rollouts, sent by each router to the controller once a second.
 *
 * Transport: framed. Protocol: compact. Service name on the peer port of a router: "rollouts".
 */
namespace java io.laburnummoor.wire.generated

/** What attempts on one version met in one period. */
struct WireSample {
  1: required i64 requests
  2: required i64 errors
  3: required i64 losses
  /** Times to the first token by bucket; bucket i starts at 0.1 ms * 1.2^i. Empty buckets are left out. */
  4: required map<i32, i32> firstTokens
  /** Mean times between tokens of an attempt by bucket. */
  5: required map<i32, i32> gaps
}

/** Both versions in one route, load level and failure domain. */
struct WireComparison {
  1: required string route
  /** LOW, MEDIUM or HIGH. */
  2: required string loadLevel
  3: required string failureDomain
  4: required WireSample before
  5: required WireSample after
}

struct EvidenceReport {
  1: required string routerName
  2: required string rollout
  3: required list<WireComparison> comparisons
  /** Why the sender has applied its brake. */
  4: optional string brakeReason
}

struct EvidenceReply {
  /** Whether the receiver is the controller; if not, it has dropped the evidence. */
  1: required bool controlling
  /** State of the rollout as it is kept in the key-value service, if the receiver knows it. */
  2: optional string state
  /** Why the receiver has applied its brake. */
  3: optional string brakeReason
}

/** A service of routers for each other. */
service RolloutService {
  EvidenceReply report(1: EvidenceReport report)
  /** Stops the new version on the receiver; works while the key-value service is down. */
  void applyBrake(1: string rollout, 2: string reason)
}
