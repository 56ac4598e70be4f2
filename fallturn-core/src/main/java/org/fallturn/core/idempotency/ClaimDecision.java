package org.fallturn.core.idempotency;

/** What a claim came to. Only {@link Granted} lets the request run. */
public sealed interface ClaimDecision {

  /**
   * The key is this attempt's alone; it may run once.
   *
   * @param rowVersion version of the claim's row, for the write that ends it
   */
  record Granted(long rowVersion) implements ClaimDecision {}

  /**
   * An earlier attempt has the whole answer.
   *
   * @param answer that answer
   */
  record Replay(StoredAnswer answer) implements ClaimDecision {}

  /** The key was used for another request. */
  record KeyReused() implements ClaimDecision {}

  /**
   * An earlier attempt may still be running.
   *
   * @param retryAfterMillis when it has ended at the latest
   */
  record InProgress(long retryAfterMillis) implements ClaimDecision {}

  /** An earlier attempt may have run, and nobody will ever know its answer. */
  record Unknown() implements ClaimDecision {}

  /** The table could not be asked. This attempt has not run and must not. */
  record StoreUnavailable() implements ClaimDecision {}
}
