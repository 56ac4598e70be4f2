package org.fallturn.core.placement;

import java.util.Comparator;
import java.util.Optional;

/**
 * A placed request and the part of it that still holds a place on its engines. Only {@link
 * InFlightTable} changes it.
 */
final class PlacedRequest {
  /** First the one whose deadline passes first. */
  static final Comparator<PlacedRequest> BY_DEADLINE =
      Comparator.comparingLong((PlacedRequest placed) -> placed.deadlineNanos)
          .thenComparing(placed -> placed.request.requestId());

  final PlacementRequest request;
  final PlacementAnswer.Placed answer;
  final EngineChoice choice;
  final long placedNanos;
  final long deadlineNanos;
  Optional<EngineSlot> prefill;
  Optional<EngineSlot> decode;
  long decodeStartNanos;
  int batchAtStart;

  PlacedRequest(
      PlacementRequest request,
      PlacementAnswer.Placed answer,
      EngineChoice choice,
      long placedNanos,
      long deadlineNanos) {
    this.request = request;
    this.answer = answer;
    this.choice = choice;
    this.placedNanos = placedNanos;
    this.deadlineNanos = deadlineNanos;
    this.prefill = choice.prefill();
    this.decode = Optional.of(choice.decode());
    this.decodeStartNanos = placedNanos;
    this.batchAtStart = choice.decode().decodeLoad() + 1;
  }

  boolean isLocal() {
    return choice.prefill().isEmpty();
  }
}
