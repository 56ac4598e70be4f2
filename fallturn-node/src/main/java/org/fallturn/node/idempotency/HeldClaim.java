package org.fallturn.node.idempotency;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.idempotency.Claim;
import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.idempotency.StoredAnswer;

/**
 * A granted claim, held by the one attempt that may run. It is ended once; later calls do nothing.
 * Thread-safe.
 */
public final class HeldClaim {

  private static final int MAX_STORED_BYTES = 64 * 1024;

  private final ClaimService service;
  private final Claim claim;
  private final long rowVersion;
  private final AtomicBoolean ended = new AtomicBoolean();

  /** A claim as it was granted. */
  public HeldClaim(ClaimService service, Claim claim, long rowVersion) {
    this.service = service;
    this.claim = claim;
    this.rowVersion = rowVersion;
  }

  /** The request has its whole answer; one too large to keep is stored as not known. */
  public void finished(StoredAnswer answer) {
    boolean fits = answer.body().length <= MAX_STORED_BYTES;
    end(ClaimRow.State.FINISHED, fits ? Optional.of(answer) : Optional.empty());
  }

  /** The request failed: after not-run the key is free again, else its outcome stays unknown. */
  public void failed(Outcome outcome) {
    ClaimRow.State state =
        outcome == Outcome.NOT_RUN ? ClaimRow.State.RELEASED : ClaimRow.State.FINISHED;
    end(state, Optional.empty());
  }

  private void end(ClaimRow.State state, Optional<StoredAnswer> answer) {
    if (ended.compareAndSet(false, true)) {
      service.settle(claim, rowVersion, claim.toRow().with(state, answer));
    }
  }
}
