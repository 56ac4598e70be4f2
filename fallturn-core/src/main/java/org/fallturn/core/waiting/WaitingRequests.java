package org.fallturn.core.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queue of the requests that wait at this node until an engine of their service has free capacity.
 *
 * <p>It serves loads beyond the capacity of the engines. A request sent to a full engine is
 * rejected, or it is late behind others that could have waited, and it cannot be recalled. Requests
 * are ordered by rank, then by whether they can still meet their target time, then by whether the
 * caller retries, then by deadline. One that cannot meet its target time goes later, since ahead of
 * others it would only make these late too. Waiting requests hold their bodies in memory; beyond a
 * bound, the last of the least urgent are handed back to be refused. One thread calls.
 *
 * @param <R> type of a request
 */
public final class WaitingRequests<R> {

  /**
   * A waiting request.
   *
   * @param request the request
   * @param service service that it is for
   * @param priority position of its rank; 0 goes first
   * @param retried whether its caller has spent part of its time before, as after a refusal
   * @param targetNanos steady clock time up to which its answer has its full value
   * @param answerByNanos steady clock time until which its caller waits
   * @param sinceNanos steady clock time at which it began to wait
   * @param bytes memory in bytes that it holds
   */
  public record Waiting<R>(
      R request,
      String service,
      int priority,
      boolean retried,
      long targetNanos,
      long answerByNanos,
      long sinceNanos,
      int bytes) {

    private boolean inTime(long nowNanos, long workNanos) {
      return targetNanos - nowNanos >= workNanos;
    }

    private long nextDeadlineNanos(long nowNanos, long workNanos) {
      return inTime(nowNanos, workNanos) ? targetNanos : answerByNanos;
    }
  }

  private final Map<R, Waiting<R>> waiting = new LinkedHashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();
  private long bytes;

  /**
   * Adds a request.
   *
   * @param arrived the request
   * @param maxBytes bound for the memory of all waiting requests
   * @return the requests that have been removed to stay within the bound, possibly including the
   *     new one
   */
  public List<Waiting<R>> add(Waiting<R> arrived, long maxBytes) {
    put(arrived);
    List<Waiting<R>> evicted = new ArrayList<>();
    while (bytes > maxBytes && !waiting.isEmpty()) {
      Waiting<R> last = waiting.values().stream().max(evictionOrder()).orElseThrow();
      remove(last.request());
      evicted.add(last);
    }
    return evicted;
  }

  private void put(Waiting<R> arrived) {
    waiting.put(arrived.request(), arrived);
    counts.merge(arrived.service(), 1, Integer::sum);
    bytes += arrived.bytes();
  }

  private Comparator<Waiting<R>> evictionOrder() {
    return Comparator.<Waiting<R>>comparingInt(Waiting::priority)
        .thenComparing(entry -> !entry.retried())
        .thenComparingLong(Waiting::sinceNanos);
  }

  /** Removes a request if it is waiting. */
  public Optional<Waiting<R>> remove(R request) {
    Waiting<R> removed = waiting.remove(request);
    if (removed == null) {
      return Optional.empty();
    }
    counts.merge(removed.service(), -1, Integer::sum);
    bytes -= removed.bytes();
    return Optional.of(removed);
  }

  /**
   * Returns the waiting requests of a service in the order in which they are to be sent.
   *
   * @param service the service
   * @param workNanos time that a request takes at an engine with free capacity
   * @param nowNanos current time of the steady clock
   */
  public List<Waiting<R>> inOrder(String service, long workNanos, long nowNanos) {
    return waiting.values().stream()
        .filter(entry -> entry.service().equals(service))
        .sorted(
            Comparator.<Waiting<R>>comparingInt(Waiting::priority)
                .thenComparing(entry -> !entry.inTime(nowNanos, workNanos))
                .thenComparing(entry -> !entry.retried())
                .thenComparingLong(
                    entry -> entry.nextDeadlineNanos(nowNanos, workNanos) - nowNanos))
        .toList();
  }

  /** Returns the services that have waiting requests. */
  public List<String> services() {
    return counts.entrySet().stream()
        .filter(count -> count.getValue() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of waiting requests of a service. */
  public int size(String service) {
    return counts.getOrDefault(service, 0);
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return waiting.size();
  }

  /** Returns the memory in bytes that they hold. */
  public long bytes() {
    return bytes;
  }

  /** Removes and returns all waiting requests. */
  public List<Waiting<R>> removeAll() {
    List<Waiting<R>> all = List.copyOf(waiting.values());
    all.forEach(entry -> remove(entry.request()));
    return all;
  }
}
