package org.fallturn.rehearsal.engine;

import java.util.List;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.OrderNumber;

/**
 * What an engine stand-in did, {@code GET /control/journal}, so that tests can prove that no
 * conflicting order was executed and no request ran twice. It survives crashes of the stand-in.
 *
 * @param engine the engine
 * @param incarnation its present incarnation
 * @param orders every order it was sent, in the order of arrival
 * @param requests the latest requests it started
 * @param requestsStarted all requests it ever started
 * @param requestsCutByOrder running requests that an order of the leader ended
 * @param roleChangesStarted accepted orders that changed the role
 * @param tokensGenerated tokens generated since the first start
 */
public record EngineJournal(
    EngineId engine,
    long incarnation,
    List<OrderEntry> orders,
    List<RequestEntry> requests,
    long requestsStarted,
    long requestsCutByOrder,
    long roleChangesStarted,
    long tokensGenerated) {

  /** Private copies of the lists. */
  public EngineJournal {
    orders = List.copyOf(orders);
    requests = List.copyOf(requests);
  }

  /**
   * One order.
   *
   * @param number its number
   * @param command what it asked
   * @param executed whether it was accepted
   * @param reason why it was refused; empty when executed
   * @param incarnation incarnation that answered
   * @param atMillis wall clock time
   */
  public record OrderEntry(
      OrderNumber number,
      EngineCommand command,
      boolean executed,
      String reason,
      long incarnation,
      long atMillis) {}

  /**
   * One request that was started.
   *
   * @param requestId the caller's request
   * @param kind prefill or generate
   * @param cacheScope its cache scope
   * @param priority its priority
   * @param startOffset first token asked for
   * @param promptTokens tokens of its prompt
   * @param cachedTokens of them, found in the cache or imported
   * @param end how it ended
   * @param tokens tokens generated
   * @param atMillis wall clock time of its start
   */
  public record RequestEntry(
      RequestId requestId,
      Kind kind,
      String cacheScope,
      Urgency priority,
      int startOffset,
      int promptTokens,
      int cachedTokens,
      End end,
      int tokens,
      long atMillis) {}

  /** What was asked. */
  public enum Kind {
    /** KV cache for export. */
    PREFILL,
    /** A stream of tokens. */
    GENERATE
  }

  /** How a request ended. */
  public enum End {
    /** It is still running. */
    RUNNING,
    /** Answered whole. */
    FINISHED,
    /** Cancelled by a cancel message. */
    CANCELLED,
    /** Its caller closed the connection. */
    CALLER_GONE,
    /** Ended by an order that took the engine away. */
    CUT_BY_ORDER,
    /** Lost in a crash. */
    CRASHED
  }
}
