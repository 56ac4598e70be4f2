package org.fallturn.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The parts of prompts that engines have answered lately. Most parts are answered all the time, and
 * these are never suspected.
 *
 * <p>Invariant: at most {@link #MAX_PARTS} parts are kept, those answered last. One thread calls.
 */
final class AnsweredParts {

  /** The most parts to keep, some 200 bytes each. */
  private static final int MAX_PARTS = 4_096;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<RequestFingerprint, Long> answeredNanos =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestFingerprint, Long> eldest) {
          return size() > MAX_PARTS;
        }
      };

  void onAnswered(RequestFingerprint part, long nowNanos) {
    answeredNanos.merge(part, nowNanos, (a, b) -> a - b > 0 ? a : b);
  }

  /** The time in ns at which an engine last answered a request with the part, if it is known. */
  OptionalLong lastAnswer(RequestFingerprint part) {
    Long nanos = answeredNanos.get(part);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }

  /** Returns whether the last answer is so recent that a crash at a time says nothing. */
  boolean isCleared(RequestFingerprint part, long crashNanos) {
    Long nanos = answeredNanos.get(part);
    return nanos != null && nanos + part.kind().clearedNanos() - crashNanos >= 0;
  }
}
