/**
 * What gateways tell each other about their use of upstreams.
 *
 * Transport: one UDP datagram for each message. Protocol: compact.
 */
namespace java io.laburnummoor.wire.generated

include "exchange.thrift"

/** What one gateway uses of one upstream. */
struct UpstreamLoadMessage {
  1: required string upstreamId
  2: required i32 inFlight
  /** Prompt tokens of requests without an event yet. */
  3: required i64 promptTokens
  /** Tokens of all its requests and copies. */
  4: required i64 heldTokens
  /** The part of the prompt tokens that belongs to long prompts; left out if there are none. */
  5: optional i64 longPromptTokens
}

/** How long work takes on an upstream, as one gateway knows from a response. */
struct UpstreamPaceMessage {
  1: required string upstreamId
  /** Pace that the upstream reported, 100 is usual; 0 if it reported none. */
  2: required i32 percent
  /** Age of the response when this message was sent. */
  3: required i32 ageMillis
  /** Measured time in percent of the time that was expected at the reported pace; left out if not measured. */
  4: optional i32 measuredPercent
}

/** Judged answers of both versions of an ordered rollout on one route. */
struct RolloutCountsMessage {
  /** Number of the order. */
  1: required i64 orderNumber
  2: required string route
  3: required i64 oldTrials
  4: required i64 oldFailures
  5: required i64 newTrials
  6: required i64 newFailures
}

/** One life of an upstream that has ended, as another life answered at its address. */
struct EndedLifeMessage {
  1: required string upstreamId
  /** Wall-clock time of its start by its own clock, which tells it from other lives under its id. */
  2: required i64 bornMillis
}

/** Crash of an upstream while a request with a certain prompt part waited there for its first output. */
struct PromptPartCrashMessage {
  /** Hash of the id and start time of the upstream's process. */
  1: required i64 incarnationHash
  /** Wall-clock time. */
  2: required i64 crashedAtMillis
  3: required i64 requestHash
}

/** Evidence about a prompt part that many requests may share. */
struct SuspectPromptPartMessage {
  /** Service, model and content of the part. */
  1: required string key
  2: required list<PromptPartCrashMessage> crashes
  /** Wall-clock time at which a request with the part last produced output; 0 if not known. */
  3: required i64 begunAtMillis
}

struct RouterLoadMessage {
  1: required string router
  /** Random number of the process, so that a restarted gateway is not taken for an old message. */
  2: required i64 incarnation
  /** Increases with each message of the process. */
  3: required i64 sequence
  /** Upstreams that the gateway uses; all others are unused by it. */
  4: required list<UpstreamLoadMessage> loads
  /** What the gateway has counted since each order; left out while there is no rollout. */
  5: optional list<RolloutCountsMessage> rolloutCounts
  /** Requests that crashed upstreams; left out while there are none. */
  6: optional list<exchange.SuspectMessage> suspects
  /** Lives whose end the gateway has seen lately; left out while there are none. */
  7: optional list<EndedLifeMessage> endedLives
  /** Some of the prompt parts that may crash upstreams; left out while there are none. */
  8: optional list<SuspectPromptPartMessage> suspectPromptParts
  /** Latest paces of upstreams; left out while there are none. */
  9: optional list<UpstreamPaceMessage> paces
}
