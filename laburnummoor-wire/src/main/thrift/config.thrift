/**
 * Configuration between routers, registered under the name "config".
 *
 * Transport: framed. Protocol: compact.
 */
namespace java io.laburnummoor.wire.generated

/** One declaration as stored. */
struct WireConfigEntry {
  /** Kind and name, for example "organisation/front-desks". */
  1: required string key
  /** JSON text, with all fields that its operator wrote. */
  2: required string text
}

/** The difference between a revision and the one before it. */
struct WireConfigDelta {
  1: required i64 revision
  2: required string operationId
  /** Digest of the whole set after the change. */
  3: required string digest
  4: required list<WireConfigEntry> changed
  5: required list<string> removedKeys
}

/** A whole set. */
struct WireConfigSet {
  1: required i64 revision
  2: required string operationId
  3: required list<WireConfigEntry> entries
}

struct WireConfigUpdate {
  /** Revision in force at the answering router, 0 if none. */
  1: required i64 revision
  /** Deltas that follow the asker's revision without a gap. */
  2: required list<WireConfigDelta> deltas
  /** Present if the deltas since the asker's revision are not kept. */
  3: optional WireConfigSet full
}

struct ConfigStatus {
  1: required string routerName
  2: required string failureDomain
  /** Revision in force, 0 if none. */
  3: required i64 revision
  4: required string digest
  /** Versions of the declarations' format that this router reads. */
  5: required list<i32> schemaVersions
}

service ConfigService {
  /** Returns what a router at the given revision needs to reach this router's revision. */
  WireConfigUpdate since(1: i64 revision)

  ConfigStatus status()
}
