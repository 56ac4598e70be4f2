package org.fallturn.rehearsal.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The tries of each request. A caller that was refused may send its request again with the same id;
 * its tries follow each other. Immutable.
 */
final class SoakTries {

  /** Statuses that promise that a request was not run and never will be. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private final Map<String, List<SoakRecord.Call>> byId;

  private SoakTries(Map<String, List<SoakRecord.Call>> byId) {
    this.byId = byId;
  }

  static SoakTries of(List<SoakRecord.Call> calls) {
    return new SoakTries(
        calls.stream()
            .sorted(Comparator.comparing(SoakRecord.Call::sentNanos))
            .collect(Collectors.groupingBy(SoakRecord.Call::requestId)));
  }

  /** Whether an answer promises that its request was not run. */
  static boolean isRefused(int status) {
    return NOT_RUN.contains(status);
  }

  /** The try that an arrival is of: the last one that was sent before, or else the first. */
  Optional<SoakRecord.Call> of(SoakRecord.Arrival arrival) {
    List<SoakRecord.Call> tries = byId.getOrDefault(arrival.requestId(), List.of());
    return tries.stream()
        .filter(one -> one.sentNanos() <= arrival.nanos())
        .reduce((earlier, later) -> later)
        .or(() -> tries.stream().findFirst());
  }

  /** The gateway that was asked in the try that an arrival is of; -1 if there is none. */
  int gateway(SoakRecord.Arrival arrival) {
    return of(arrival).map(SoakRecord.Call::gateway).orElse(-1);
  }

  /** Whether a call is the first one with its id. */
  boolean isFirst(SoakRecord.Call call) {
    return byId.get(call.requestId()).get(0).sentNanos() == call.sentNanos();
  }

  /**
   * The tries that were refused and ran. A run belongs to a refused try if it began before the next
   * one was sent, and in any case if all tries were refused.
   */
  List<SoakRecord.Call> refusedAndRan(SoakRecord record) {
    List<SoakRecord.Call> found = new ArrayList<>();
    for (Map.Entry<String, List<SoakRecord.Call>> request : byId.entrySet()) {
      List<SoakRecord.Call> tries = request.getValue();
      SoakRecord.Call last = tries.get(tries.size() - 1);
      boolean ran = record.runs().getOrDefault(request.getKey(), 0) > 0;
      if (ran && tries.stream().allMatch(one -> isRefused(one.status()))) {
        found.add(last);
      } else {
        found.addAll(
            ranBeforeNext(tries, record.runNanos().getOrDefault(last.requestId(), List.of())));
      }
    }
    return found;
  }

  private static List<SoakRecord.Call> ranBeforeNext(
      List<SoakRecord.Call> tries, List<Long> runNanos) {
    List<SoakRecord.Call> found = new ArrayList<>();
    for (int index = 0; index < tries.size(); index++) {
      SoakRecord.Call one = tries.get(index);
      long next = index + 1 < tries.size() ? tries.get(index + 1).sentNanos() : Long.MAX_VALUE;
      boolean ran = runNanos.stream().anyMatch(at -> at >= one.sentNanos() && at < next);
      if (ran && isRefused(one.status())) {
        found.add(one);
      }
    }
    return found;
  }
}
