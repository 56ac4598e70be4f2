package org.fallturn.core.lease;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;

/**
 * What this node has promised as a witness of other nodes' leases. Invariant: after consenting to
 * the takeover of a row version it never promises anything for that version or an earlier one, and
 * while a promise runs it consents to no takeover. Only a renewal in the table, which changes the
 * row's version and so defeats the challenger's write, makes the holder eligible again; no clock
 * can. Owned by one thread.
 */
public final class WitnessRegister {

  private final NodeId self;
  private final LeaseParameters parameters;
  private final Map<PoolId, Entry> entries = new HashMap<>();

  /** A register without promises; a new process has a new id and so is nobody's witness yet. */
  public WitnessRegister(NodeId self, LeaseParameters parameters) {
    this.self = self;
    this.parameters = parameters;
  }

  /**
   * Answers a holder.
   *
   * @param tableReachable whether this node reached the table of late
   */
  public PromiseAnswer promise(PromiseRequest request, boolean tableReachable, long nowNanos) {
    return new PromiseAnswer(self, decidePromise(request, tableReachable, nowNanos));
  }

  private PromiseAnswer.Result decidePromise(
      PromiseRequest request, boolean tableReachable, long nowNanos) {
    if (!request.witness().equals(self)) {
      return PromiseAnswer.Result.WRONG_PROCESS;
    }
    Entry entry = entries.computeIfAbsent(request.pool(), pool -> new Entry(nowNanos));
    if (entry.contestedVersion >= request.version() || entry.promisedVersion > request.version()) {
      return PromiseAnswer.Result.CONTESTED;
    }
    if (tableReachable) {
      return PromiseAnswer.Result.TABLE_REACHABLE;
    }
    entry.promisedVersion = request.version();
    long until = nowNanos + parameters.waitOutNanos(Duration.ofMillis(request.durationMillis()));
    if (until - entry.promisedUntilNanos > 0) {
      entry.promisedUntilNanos = until;
    }
    return PromiseAnswer.Result.PROMISED;
  }

  /** Answers a challenger. Whatever the answer, the holder gets no new promise for the version. */
  public ConsentAnswer consent(ConsentRequest request, long nowNanos) {
    return new ConsentAnswer(self, decideConsent(request, nowNanos));
  }

  private ConsentAnswer.Result decideConsent(ConsentRequest request, long nowNanos) {
    if (!request.witness().equals(self)) {
      return ConsentAnswer.Result.WRONG_PROCESS;
    }
    Entry entry = entries.computeIfAbsent(request.pool(), pool -> new Entry(nowNanos));
    entry.contestedVersion = Math.max(entry.contestedVersion, request.version());
    boolean running = entry.promisedUntilNanos - nowNanos > 0;
    return running ? ConsentAnswer.Result.PROMISE_RUNNING : ConsentAnswer.Result.CONSENTED;
  }

  /** Promises and contests of one pool. */
  private static final class Entry {
    private long contestedVersion = -1;
    private long promisedVersion = -1;
    private long promisedUntilNanos;

    Entry(long nowNanos) {
      promisedUntilNanos = nowNanos;
    }
  }
}
