package org.fallturn.rehearsal.signals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The tries of requests, as their callers saw them, and those that break a promise. A caller sends
 * a request again, with the same id, only after a refusal.
 *
 * <p>Checked are two promises. A request that may run once has one run at most over all its tries.
 * A try that was refused has no run, whether the request may be repeated or not; each run is told
 * apart by the try that it belongs to, so that a refusal stays true when a later try runs, and a
 * request whose last try was refused has no run at all.
 */
final class RequestTries {

  /** Statuses that say that a try has not run and never will. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private final List<Try> tries = new ArrayList<>();

  /**
   * One try.
   *
   * @param number from 1
   * @param once whether the request may run once at most
   * @param status of the answer; 0 when the connection ended without one
   */
  record Try(String requestId, int number, boolean once, String gateway, int status) {

    /** Whether the answer says that the try has not run. */
    boolean isRefused() {
      return saysNotRun(status);
    }

    @Override
    public String toString() {
      return "%s (try %d) at %s".formatted(requestId, number, gateway);
    }
  }

  /** Whether a status says that a try has not run and never will. */
  static boolean saysNotRun(int status) {
    return NOT_RUN.contains(status);
  }

  void add(Try one) {
    tries.add(one);
  }

  /** Tries that were refused. */
  List<Try> refused() {
    return tries.stream().filter(Try::isRefused).toList();
  }

  /** How many requests there were. */
  long requests() {
    return tries.stream().filter(one -> one.number() == 1).count();
  }

  /** How many of them may run once. */
  long onceRequests() {
    return tries.stream().filter(one -> one.number() == 1 && one.once()).count();
  }

  /** How many tries came after a refusal. */
  long returns() {
    return tries.size() - requests();
  }

  /** Ids of requests that may run once and ran more often, over all tries. */
  List<String> ranMoreThanOnce(EngineRuns runs) {
    return tries.stream()
        .filter(Try::once)
        .map(Try::requestId)
        .distinct()
        .filter(id -> runs.runsOf(id) > 1)
        .toList();
  }

  /** Tries that were refused, and ran. */
  List<Try> refusedAndRan(EngineRuns runs) {
    return refused().stream()
        .filter(one -> runs.runsOf(one.requestId(), one.number()) > 0)
        .toList();
  }
}
