/**
 * What routers tell each other once a second.
 *
 * Transport: framed. Protocol: compact. Times are wall-clock milliseconds since 1970-01-01 UTC.
 */
namespace java io.laburnummoor.wire.generated

/** The demand that one router has announced; routers pass on announcements of others. */
struct DemandMessage {
  1: required string router
  /** Increases with each announcement of the router. */
  2: required i64 sequence
  /** Number of running and waiting requests by the hash of an organisation or service. */
  3: required map<i64, i32> demandByKey
}

struct CrashMessage {
  1: required string upstreamId
  2: required i64 crashedAtMillis
  /** Whether the request ran alone on the upstream. */
  3: required bool isolated
}

struct SuspectMessage {
  /** Digest of service and body. */
  1: required string fingerprint
  2: required list<CrashMessage> crashes
  /** Crashes up to this time do not count. */
  3: required i64 clearedAtMillis
  4: required i64 deadlineMillis
}

struct Digest {
  1: required string router
  /** Revision of the configuration in force on the router. */
  2: required i64 configRevision
  3: required list<DemandMessage> demands
  4: required list<SuspectMessage> suspects
}

/** A service of routers for routers, registered as "exchange". */
service ExchangeService {
  Digest exchange(1: Digest digest)
}
