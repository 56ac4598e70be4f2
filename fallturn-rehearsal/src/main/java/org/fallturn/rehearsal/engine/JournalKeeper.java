package org.fallturn.rehearsal.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fallturn.core.domain.EngineId;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.port.engine.EngineCommand;
import org.fallturn.core.port.engine.EngineOrder;
import org.fallturn.rehearsal.engine.EngineJournal.End;
import org.fallturn.rehearsal.engine.EngineJournal.Kind;
import org.fallturn.rehearsal.engine.EngineJournal.OrderEntry;
import org.fallturn.rehearsal.engine.EngineJournal.RequestEntry;

/** Writes the journal; keeps all orders and a bounded number of requests. Any thread may call. */
final class JournalKeeper {

  private static final int KEPT_REQUESTS = 50_000;

  private final EngineId engine;
  private final List<OrderEntry> orders = new ArrayList<>();
  private final Deque<StartedRequest> requests = new ArrayDeque<>();
  private long incarnation;
  private long started;
  private long cutByOrder;
  private long roleChanges;
  private long tokensGenerated;

  JournalKeeper(EngineId engine) {
    this.engine = engine;
  }

  /** A request in the journal whose end is still open. */
  final class StartedRequest {
    private final RequestId requestId;
    private final Kind kind;
    private final String cacheScope;
    private final Urgency priority;
    private final int startOffset;
    private final int promptTokens;
    private final long atMillis = System.currentTimeMillis();
    private int cachedTokens;
    private End end = End.RUNNING;
    private int tokens;

    private StartedRequest(
        RequestId requestId,
        Kind kind,
        String cacheScope,
        Urgency priority,
        int startOffset,
        int promptTokens) {
      this.requestId = requestId;
      this.kind = kind;
      this.cacheScope = cacheScope;
      this.priority = priority;
      this.startOffset = startOffset;
      this.promptTokens = promptTokens;
    }

    void cached(int count) {
      synchronized (JournalKeeper.this) {
        cachedTokens = count;
      }
    }

    void ended(End how, int tokensSent) {
      synchronized (JournalKeeper.this) {
        if (end == End.RUNNING) {
          end = how;
          tokens = tokensSent;
          cutByOrder += how == End.CUT_BY_ORDER ? 1 : 0;
        }
      }
    }

    private RequestEntry entry() {
      return new RequestEntry(
          requestId,
          kind,
          cacheScope,
          priority,
          startOffset,
          promptTokens,
          cachedTokens,
          end,
          tokens,
          atMillis);
    }
  }

  synchronized void incarnation(long next) {
    incarnation = next;
  }

  synchronized void order(EngineOrder order, boolean executed, String reason) {
    orders.add(
        new OrderEntry(
            order.number(),
            order.command(),
            executed,
            reason,
            incarnation,
            System.currentTimeMillis()));
  }

  synchronized void roleChangeStarted(EngineCommand.ChangeRole command) {
    roleChanges++;
  }

  synchronized void generated(int tokens) {
    tokensGenerated += tokens;
  }

  synchronized StartedRequest prefill(
      RequestId requestId, String cacheScope, Urgency priority, int promptTokens) {
    return add(new StartedRequest(requestId, Kind.PREFILL, cacheScope, priority, 0, promptTokens));
  }

  synchronized StartedRequest generate(
      RequestId requestId, String cacheScope, Urgency priority, int startOffset, int promptTokens) {
    return add(
        new StartedRequest(
            requestId, Kind.GENERATE, cacheScope, priority, startOffset, promptTokens));
  }

  synchronized EngineJournal journal() {
    return new EngineJournal(
        engine,
        incarnation,
        orders,
        requests.stream().map(StartedRequest::entry).toList(),
        started,
        cutByOrder,
        roleChanges,
        tokensGenerated);
  }

  private StartedRequest add(StartedRequest request) {
    started++;
    requests.addLast(request);
    if (requests.size() > KEPT_REQUESTS) {
      requests.removeFirst();
    }
    return request;
  }
}
