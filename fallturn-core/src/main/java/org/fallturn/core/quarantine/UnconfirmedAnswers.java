package org.fallturn.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Answers that ended with their connections, where nothing else told their end. The answer of an
 * engine that crashes between two events looks the same, so that it clears nothing until the engine
 * is heard again, and counts as a crash if the engine is found to be gone instead.
 *
 * <p>Invariant: at most {@link #MAX_ANSWERS} are kept, the newest. One thread calls.
 */
final class UnconfirmedAnswers {

  private static final int MAX_ANSWERS = 1_024;

  /** An engine with other requests is heard several times within this, and its end is known. */
  private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final List<UnconfirmedAnswer> answers = new ArrayList<>();

  /**
   * An answer whose end is not confirmed.
   *
   * @param content content of the request
   * @param engineId id of the engine that gave it
   * @param attempt what the engine had to do with the request
   * @param endedNanos time in ns at which it ended
   */
  record UnconfirmedAnswer(
      RequestContent content, String engineId, BrokenAttempt attempt, long endedNanos) {}

  void add(UnconfirmedAnswer answer) {
    if (answers.size() >= MAX_ANSWERS) {
      answers.remove(0);
    }
    answers.add(answer);
  }

  /** Removes and returns the answers of engines that were heard later; drops those too old. */
  List<UnconfirmedAnswer> takeConfirmed(Function<String, OptionalLong> lastHeard, long nowNanos) {
    List<UnconfirmedAnswer> confirmed =
        take(
            answer ->
                Suspect.isAliveAfter(lastHeard.apply(answer.engineId()), answer.endedNanos()));
    answers.removeIf(answer -> nowNanos - answer.endedNanos() > KEPT_NANOS);
    return confirmed;
  }

  /** Removes and returns the answers of an engine that is gone. */
  List<UnconfirmedAnswer> takeOf(String engineId) {
    return take(answer -> answer.engineId().equals(engineId));
  }

  private List<UnconfirmedAnswer> take(Predicate<UnconfirmedAnswer> wanted) {
    List<UnconfirmedAnswer> taken = answers.stream().filter(wanted).toList();
    answers.removeAll(taken);
    return taken;
  }

  Set<String> engines() {
    return answers.stream().map(UnconfirmedAnswer::engineId).collect(Collectors.toSet());
  }
}
