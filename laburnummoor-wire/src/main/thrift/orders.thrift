/**
 * Orders of the rollout controller to the agent beside an upstream.
 *
 * Transport: framed. Protocol: compact. Service name on the port of an agent: "orders".
 */
namespace java io.laburnummoor.wire.generated

enum OrderKind {
  LOAD_MODEL = 1,
  LOAD_ADAPTER = 2,
  LOAD_VERSION = 3,
  CHANGE_ROLE = 4,
  DRAIN = 5
}

struct Order {
  /** Unique; an order that is sent again keeps it. */
  1: required string orderId
  /** Fencing token of the controller. */
  2: required i64 token
  3: required OrderKind kind
  /** Model, adapter, version or role; empty to drain. */
  4: required string target
  /** Wall-clock milliseconds since 1970-01-01 UTC after which the order must not be started. */
  5: required i64 deadlineMillis
}

enum OrderResult {
  /** The upstream has carried it out, now or when it was sent before. */
  DONE = 1,
  /** A controller with a higher token has taken over. */
  STALE = 2,
  /** The key-value service does not answer, so the token cannot be checked; send it again. */
  FENCE_UNKNOWN = 3,
  /** The deadline has passed. */
  EXPIRED = 4,
  /** The upstream refused or did not answer; send it again. */
  FAILED = 5
}

service OrderService {
  OrderResult execute(1: Order order)
}
