package org.fallturn.core.idempotency;

import java.util.Optional;
import org.fallturn.core.port.table.TableRow;

/** Decides what an attempt gets in view of the row it found. Pure. */
public final class ClaimRules {

  private static final long SOON_MILLIS = 1_000;

  private ClaimRules() {}

  /**
   * Decides, or returns empty when the key is free and the claim must be written (again).
   *
   * @param claim the attempt
   * @param row the row as it was read
   * @param found its content; empty when the row is absent
   * @param nowMillis wall-clock time; being wrong about it never lets an attempt run
   */
  public static Optional<ClaimDecision> decide(
      Claim claim, TableRow row, Optional<ClaimRow> found, long nowMillis) {
    if (found.isEmpty()) {
      return Optional.empty();
    }
    ClaimRow existing = found.get();
    boolean own = existing.attemptId().equals(claim.attemptId());
    if (own && existing.state() == ClaimRow.State.CLAIMED) {
      return Optional.of(new ClaimDecision.Granted(row.version()));
    }
    if (existing.state() == ClaimRow.State.RELEASED) {
      return own ? Optional.of(new ClaimDecision.StoreUnavailable()) : Optional.empty();
    }
    if (!existing.bodyHash().equals(claim.bodyHash())) {
      return Optional.of(new ClaimDecision.KeyReused());
    }
    return Optional.of(retry(existing, nowMillis));
  }

  private static ClaimDecision retry(ClaimRow existing, long nowMillis) {
    if (existing.state() == ClaimRow.State.FINISHED) {
      return existing
          .answer()
          .<ClaimDecision>map(ClaimDecision.Replay::new)
          .orElseGet(ClaimDecision.Unknown::new);
    }
    long leftMillis = existing.expiresAtMillis() - nowMillis;
    return leftMillis > 0
        ? new ClaimDecision.InProgress(Math.min(leftMillis, SOON_MILLIS))
        : new ClaimDecision.Unknown();
  }
}
