package org.fallturn.node.idempotency;

import java.util.concurrent.CompletableFuture;
import org.fallturn.core.idempotency.Claim;
import org.fallturn.core.idempotency.ClaimDecision;
import org.fallturn.core.idempotency.ClaimRow;

/** Claims on idempotency keys. Thread-safe, never blocks. */
public interface ClaimService {

  /**
   * Asks for a claim. The future always completes normally, within the claim timeout. When the
   * answer is not Granted, the attempt must not run.
   */
  CompletableFuture<ClaimDecision> claim(Claim claim);

  /**
   * Writes how a granted claim ended, in the background.
   *
   * @param rowVersion the version the grant named
   * @param row the claim's row in its new state
   */
  void settle(Claim claim, long rowVersion, ClaimRow row);

  /** Ends that are not yet known to be written. */
  int unsettled();
}
