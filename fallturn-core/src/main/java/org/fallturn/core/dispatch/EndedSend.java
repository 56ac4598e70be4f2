package org.fallturn.core.dispatch;

import java.util.Optional;

/**
 * A send of a request that ended without an answer for its caller.
 *
 * @param engineId the engine that it was meant for
 * @param prefill whether the engine was only to read the prompt
 * @param forwarded whether another node was to send it
 * @param outcome how it ended
 */
public record EndedSend(
    String engineId, boolean prefill, boolean forwarded, AttemptOutcome outcome) {

  /** On what ground the engine is known not to have run the request; empty if it may have. */
  public Optional<NotRunEvidence> notRunEvidence() {
    if (prefill) {
      return Optional.of(NotRunEvidence.PREFILL);
    }
    return switch (outcome) {
      case NOT_SENT ->
          Optional.of(forwarded ? NotRunEvidence.NOT_FORWARDED : NotRunEvidence.NOT_SENT);
      case HELD_BACK -> Optional.of(NotRunEvidence.HELD_BACK);
      case NOT_EXECUTED -> Optional.of(NotRunEvidence.ENGINE_REFUSED);
      case MISDIRECTED -> Optional.of(NotRunEvidence.MISDIRECTED);
      default -> Optional.empty();
    };
  }

  /** For logs: {@code e-1=ENGINE_REFUSED}, or the outcome if the engine may have run it. */
  @Override
  public String toString() {
    return engineId + "=" + notRunEvidence().map(Enum::name).orElse(outcome.name());
  }
}
