package org.fallturn.node.idempotency;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.fallturn.core.idempotency.Claim;
import org.fallturn.core.idempotency.ClaimBatch;
import org.fallturn.core.idempotency.ClaimDecision;
import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.idempotency.ClaimRowCodec;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.duty.DutyThread;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes claims by group commit: what gathers while one transaction is on its way goes into the
 * next. A thread of its own calls the table, so that a slow store delays claims and nothing else.
 * The ring is bounded; a claim that finds it full is refused at once.
 */
public final class ClaimDuty implements ClaimService, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ClaimDuty.class);
  private static final int RING_SIZE = 4096;
  private static final int MAX_CLAIMS_IN_BATCH = 128;
  private static final int MAX_ROUNDS = 8;
  private static final int MAX_DOUBTFUL = 1024;
  private static final Duration TICK = Duration.ofMillis(50);
  private static final long DOUBT_CHECK_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long CLOSE_SECONDS = 3;

  private final TableService table;
  private final ClaimRowCodec codec;
  private final Duration claimTimeout;
  private final LongSupplier wallClockMillis;
  private final SettlementQueue settlements;
  private final DutyThread<Event> duty;
  private final AtomicInteger offeredSettlements = new AtomicInteger();
  private final List<ClaimAsked> gathered = new ArrayList<>();
  private final Map<String, Claim> doubtful = new LinkedHashMap<>();
  private long lastDoubtCheckNanos;

  /**
   * A duty that is not started.
   *
   * @param claimTimeout longest wait of a claim
   * @param wallClockMillis the wall clock, for the age of claims only
   */
  public ClaimDuty(
      TableService table,
      ClaimRowCodec codec,
      Duration claimTimeout,
      LongSupplier wallClockMillis) {
    this.table = table;
    this.codec = codec;
    this.claimTimeout = claimTimeout;
    this.wallClockMillis = wallClockMillis;
    this.settlements = new SettlementQueue(table, codec);
    this.duty = new DutyThread<>("claims", RING_SIZE, TICK, new Handler());
  }

  /** Starts the thread. */
  public void start() {
    duty.start();
  }

  /** Something for the duty to do. */
  private sealed interface Event {}

  private record ClaimAsked(Claim claim, CompletableFuture<ClaimDecision> decision)
      implements Event {}

  private record Settled(Settlement settlement) implements Event {}

  private record FlushAsked(CompletableFuture<Void> done) implements Event {}

  @Override
  public CompletableFuture<ClaimDecision> claim(Claim claim) {
    CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
    if (!duty.offer(new ClaimAsked(claim, decision))) {
      decision.complete(new ClaimDecision.StoreUnavailable());
      return decision;
    }
    return decision.completeOnTimeout(
        new ClaimDecision.StoreUnavailable(), claimTimeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void settle(Claim claim, long rowVersion, ClaimRow row) {
    offeredSettlements.incrementAndGet();
    if (!duty.offer(new Settled(new Settlement(claim.key(), rowVersion, row)))) {
      offeredSettlements.decrementAndGet();
      LOG.warn("claims: The ring is full; the end of claim {} is lost.", claim.attemptId());
    }
  }

  @Override
  public int unsettled() {
    return offeredSettlements.get() + settlements.size();
  }

  /** Writes what is left, for a bounded time, and ends the thread. */
  @Override
  public void close() {
    CompletableFuture<Void> flushed = new CompletableFuture<>();
    if (duty.offer(new FlushAsked(flushed))) {
      await(flushed);
    }
    duty.close();
  }

  private static void await(CompletableFuture<Void> flushed) {
    try {
      flushed.get(CLOSE_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("claims: Not every end of a claim could be written.");
    }
  }

  private void commitGathered() {
    while (!gathered.isEmpty()) {
      int count = Math.min(MAX_CLAIMS_IN_BATCH, gathered.size());
      List<ClaimAsked> asked = new ArrayList<>(gathered.subList(0, count));
      gathered.subList(0, count).clear();
      asked.removeIf(one -> one.decision().isDone());
      commit(asked);
    }
  }

  private void commit(List<ClaimAsked> asked) {
    ClaimBatch batch = new ClaimBatch(asked.stream().map(ClaimAsked::claim).toList(), codec);
    drive(batch);
    for (ClaimAsked one : asked) {
      answer(one, batch.decisions().get(one.claim()));
    }
  }

  private void drive(ClaimBatch batch) {
    boolean mayHaveTakenEffect = false;
    for (int round = 0; round < MAX_ROUNDS; round++) {
      Optional<TableTransaction> transaction = batch.next();
      if (transaction.isEmpty()) {
        return;
      }
      try {
        take(batch, table.transact(transaction.get()));
      } catch (StoreException e) {
        mayHaveTakenEffect = e.mayHaveTakenEffect();
        if (!mayHaveTakenEffect || !readBack(batch)) {
          LOG.warn("claims: The table took no claims: {}.", e.getMessage());
          break;
        }
      }
    }
    batch.giveUp(mayHaveTakenEffect).forEach(this::doubt);
  }

  private void take(ClaimBatch batch, TransactionAnswer answer) {
    if (answer.committed()) {
      batch.onCommitted();
    } else {
      batch.onRows(answer.conflicts(), wallClockMillis.getAsLong());
    }
  }

  /** Settles a lost answer by what the rows say; false when they cannot be read. */
  private boolean readBack(ClaimBatch batch) {
    try {
      batch.onRows(table.read(batch.sentKeys()), wallClockMillis.getAsLong());
      return true;
    } catch (StoreException e) {
      return false;
    }
  }

  private void answer(ClaimAsked asked, ClaimDecision decision) {
    boolean taken = asked.decision().complete(decision);
    if (!taken && decision instanceof ClaimDecision.Granted granted) {
      release(asked.claim(), granted.rowVersion());
    }
  }

  /** Nobody waits for the grant any more, so the attempt will never run. */
  private void release(Claim claim, long rowVersion) {
    ClaimRow row = claim.toRow().with(ClaimRow.State.RELEASED, Optional.empty());
    settlements.add(new Settlement(claim.key(), rowVersion, row));
  }

  private void doubt(Claim claim) {
    if (doubtful.size() < MAX_DOUBTFUL) {
      doubtful.put(claim.attemptId(), claim);
    }
  }

  /** Releases claims that were refused but turn out to have been written. */
  private void checkDoubtful(long nowNanos) {
    if (doubtful.isEmpty() || nowNanos - lastDoubtCheckNanos < DOUBT_CHECK_NANOS) {
      return;
    }
    lastDoubtCheckNanos = nowNanos;
    List<Claim> claims = doubtful.values().stream().limit(MAX_CLAIMS_IN_BATCH).toList();
    try {
      var rows = table.read(claims.stream().map(Claim::key).toList());
      for (int index = 0; index < rows.size(); index++) {
        Claim claim = claims.get(index);
        var found = codec.decode(rows.get(index));
        boolean own = found.map(row -> row.attemptId().equals(claim.attemptId())).orElse(false);
        if (own && found.get().state() == ClaimRow.State.CLAIMED) {
          release(claim, rows.get(index).version());
        }
        boolean over = claim.expiresAtMillis() < wallClockMillis.getAsLong();
        if (own || over) {
          doubtful.remove(claim.attemptId());
        }
      }
    } catch (StoreException e) {
      LOG.debug("claims: Doubtful claims cannot be read yet.");
    }
  }

  /** Runs on the duty's thread. */
  private final class Handler implements DutyHandler<Event> {

    @Override
    public void onEvent(Event event) {
      if (event instanceof ClaimAsked asked) {
        gathered.add(asked);
      } else if (event instanceof Settled settled) {
        settlements.add(settled.settlement());
        offeredSettlements.decrementAndGet();
      } else if (event instanceof FlushAsked asked) {
        commitGathered();
        settlements.flush();
        asked.done().complete(null);
      }
    }

    @Override
    public void onBatchEnd() {
      commitGathered();
    }

    @Override
    public void onTick() {
      settlements.flush();
      checkDoubtful(System.nanoTime());
    }
  }
}
