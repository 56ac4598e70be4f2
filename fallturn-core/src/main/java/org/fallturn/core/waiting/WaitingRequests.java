package org.fallturn.core.waiting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What waits at this node until an engine of its service has room.
 *
 * <p>It answers loads beyond what the engines work off: a request that is given to a full engine is
 * turned away, or is late behind others that could as well have waited, and can't be called back.
 * The order is the rank, then whether it can still be in time, then the deadline: one that cannot
 * be in time only makes others late when it goes ahead. What waits holds its body; past a bound the
 * last of the least urgent is handed back to be refused. One thread calls.
 *
 * @param <R> a request
 */
public final class WaitingRequests<R> {

  /**
   * A request that waits.
   *
   * @param request the request
   * @param service where it goes
   * @param place of its rank; 0 goes first
   * @param returned whether it waited through a refusal before
   * @param aimNanos until when its answer is worth most
   * @param answerByNanos until when its caller waits
   * @param sinceNanos since when it waits
   * @param bytes memory that it holds
   */
  public record Waiting<R>(
      R request,
      String service,
      int place,
      boolean returned,
      long aimNanos,
      long answerByNanos,
      long sinceNanos,
      int bytes) {

    private boolean inTime(long nowNanos, long workNanos) {
      return aimNanos - nowNanos >= workNanos;
    }

    private long nextEndNanos(long nowNanos, long workNanos) {
      return inTime(nowNanos, workNanos) ? aimNanos : answerByNanos;
    }
  }

  private final Map<R, Waiting<R>> waiting = new LinkedHashMap<>();
  private final Map<String, Integer> counts = new HashMap<>();
  private long bytes;

  /** Takes a request in; those that must go for it, itself among them, are returned. */
  public List<Waiting<R>> add(Waiting<R> arrived, long maxBytes) {
    put(arrived);
    List<Waiting<R>> shed = new ArrayList<>();
    while (bytes > maxBytes && !waiting.isEmpty()) {
      Waiting<R> last = waiting.values().stream().max(shedLast()).orElseThrow();
      remove(last.request());
      shed.add(last);
    }
    return shed;
  }

  private void put(Waiting<R> arrived) {
    waiting.put(arrived.request(), arrived);
    counts.merge(arrived.service(), 1, Integer::sum);
    bytes += arrived.bytes();
  }

  private Comparator<Waiting<R>> shedLast() {
    return Comparator.<Waiting<R>>comparingInt(Waiting::place)
        .thenComparing(entry -> !entry.returned())
        .thenComparingLong(Waiting::sinceNanos);
  }

  /** Takes a request out, if it waits. */
  public Optional<Waiting<R>> remove(R request) {
    Waiting<R> left = waiting.remove(request);
    if (left == null) {
      return Optional.empty();
    }
    counts.merge(left.service(), -1, Integer::sum);
    bytes -= left.bytes();
    return Optional.of(left);
  }

  /**
   * The requests of a service in the order in which they go.
   *
   * @param workNanos how long a request takes at an engine that has room
   */
  public List<Waiting<R>> inOrder(String service, long workNanos, long nowNanos) {
    return waiting.values().stream()
        .filter(entry -> entry.service().equals(service))
        .sorted(
            Comparator.<Waiting<R>>comparingInt(Waiting::place)
                .thenComparing(entry -> !entry.inTime(nowNanos, workNanos))
                .thenComparing(entry -> !entry.returned())
                .thenComparingLong(entry -> entry.nextEndNanos(nowNanos, workNanos) - nowNanos))
        .toList();
  }

  /** Services that have requests waiting. */
  public List<String> services() {
    return counts.entrySet().stream()
        .filter(count -> count.getValue() > 0)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** How many requests of a service wait. */
  public int size(String service) {
    return counts.getOrDefault(service, 0);
  }

  /** How many requests wait. */
  public int size() {
    return waiting.size();
  }

  /** Memory that they hold. */
  public long bytes() {
    return bytes;
  }

  /** Takes all out. */
  public List<Waiting<R>> removeAll() {
    List<Waiting<R>> all = List.copyOf(waiting.values());
    all.forEach(entry -> remove(entry.request()));
    return all;
  }
}
