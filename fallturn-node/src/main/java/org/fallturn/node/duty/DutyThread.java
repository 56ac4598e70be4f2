package org.fallturn.node.duty;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A thread that runs one duty and takes its events from a bounded ring buffer (LMAX Disruptor). Any
 * thread may offer events; the handler runs on the duty's thread alone. When the ring is full,
 * {@link #offer} returns false at once and the caller decides what to drop. A duty that has had no
 * event for a second ticks less often.
 *
 * <p>The thread survives every fault. By default the Disruptor ends its thread at the first
 * Throwable; the ring would then fill up and block its producers. After the duty has ended, the
 * thread still drains the ring and passes the events to {@link DutyHandler#onUnhandledEvent}.
 *
 * @param <E> type of the events
 */
public final class DutyThread<E> implements AutoCloseable {

  /** Pause between attempts to publish to a full ring. */
  private static final long FULL_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

  private static final Logger LOG = LoggerFactory.getLogger(DutyThread.class);
  private static final long CLOSE_SECONDS = 5;
  private static final long IDLE_FACTOR = 5;
  private static final long MAX_IDLE_TICK_NANOS = 50_000_000L;

  private final String name;
  private final DutyHandler<E> handler;
  private final long tickNanos;
  private final Disruptor<Slot<E>> disruptor;
  private final RingBuffer<Slot<E>> ring;
  private DutyFaultHandler faultHandler;
  private List<TickPartRunner> tickParts = List.of();
  private DutyMeter<E> meter = DutyMeter.none();
  private long lastTickNanos;
  private volatile boolean ending;
  private boolean ended;

  /**
   * Creates the duty; {@link #start} starts its thread.
   *
   * @param name name of the duty and of its thread
   * @param ringSize capacity of the ring, in events; a power of two
   * @param tick approximate interval between calls of {@link DutyHandler#onTick()}; up to 50 ms
   *     when no event has arrived for a second
   * @param handler handles the events and ticks
   */
  public DutyThread(String name, int ringSize, Duration tick, DutyHandler<E> handler) {
    this.name = name;
    this.handler = handler;
    this.tickNanos = tick.toNanos();
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            ringSize,
            task -> newDaemonThread(name, task),
            ProducerType.MULTI,
            new TickWaitStrategy(tickNanos, idleTickNanos(tickNanos)));
    disruptor.setDefaultExceptionHandler(new UncaughtFaultHandler());
    disruptor.handleEventsWith(new SlotHandler());
    this.ring = disruptor.getRingBuffer();
  }

  /**
   * Returns the tick interval of a duty that has had no event for a second: five times the usual
   * interval, but at most 50 ms (20 ticks a second) and never below the usual interval.
   */
  private static long idleTickNanos(long tickNanos) {
    return Math.max(tickNanos, Math.min(IDLE_FACTOR * tickNanos, MAX_IDLE_TICK_NANOS));
  }

  private static Thread newDaemonThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Sets what measures the duty; call before {@link #start}. */
  public DutyThread<E> measuredBy(DutyMeter<E> newMeter) {
    meter = newMeter;
    return this;
  }

  /** Starts the thread with a listener that only logs faults. */
  public DutyThread<E> start() {
    return start(DutyState.LEARNED_AGAIN, FaultListener.LOG_ONLY);
  }

  /**
   * Starts the thread.
   *
   * @param state whether the duty can be restarted after an Error
   * @param faults receives the faults that the handler does not catch
   */
  public DutyThread<E> start(DutyState state, FaultListener faults) {
    faultHandler = new DutyFaultHandler(name, state, faults);
    lastTickNanos = System.nanoTime();
    tickParts = handler.tickParts().stream().map(part -> newRunner(part, state, faults)).toList();
    disruptor.start();
    return this;
  }

  private TickPartRunner newRunner(TickPart part, DutyState state, FaultListener faults) {
    String partName = name + "-" + part.name();
    return new TickPartRunner(part, new DutyFaultHandler(partName, state, faults), lastTickNanos);
  }

  /**
   * Publishes an event to the ring.
   *
   * @return false if the ring is full; the event is not published then
   */
  public boolean offer(E event) {
    long now = System.nanoTime();
    return ring.tryPublishEvent(
        (slot, sequence) -> {
          slot.event = event;
          slot.offeredNanos = now;
        });
  }

  /** Publishes an event to the ring. Blocks while the ring is full. */
  public void put(E event) {
    while (!offer(event)) {
      LockSupport.parkNanos(FULL_PAUSE_NANOS);
    }
  }

  /**
   * Ends the duty: its handler gets no further events or ticks. The thread keeps running and drains
   * the ring. Any thread may call this.
   */
  public void end() {
    ending = true;
  }

  /** Handles the events that are left in the ring, then ends the thread. */
  @Override
  public void close() {
    try {
      disruptor.shutdown(CLOSE_SECONDS, TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      LOG.warn("duty: {} did not finish its events in time.", name);
      disruptor.halt();
    }
  }

  private void tickWhenDue() {
    long now = System.nanoTime();
    if (hasEnded() || now - lastTickNanos < tickNanos) {
      return;
    }
    long late = now - lastTickNanos - tickNanos;
    lastTickNanos = now;
    try {
      handler.onTick();
      faultHandler.onTickSuccess();
    } catch (Throwable fault) {
      applyDecision(faultHandler.onTickFault(fault));
    }
    runTickParts(now);
    meter.onTick(late, System.nanoTime() - now);
  }

  private void runTickParts(long nowNanos) {
    for (TickPartRunner part : tickParts) {
      if (!ending && !part.run(nowNanos)) {
        end();
      }
    }
  }

  /**
   * Ends the duty if the decision says so. Otherwise the duty continues without a pause, since a
   * pause would only delay its next events.
   */
  private void applyDecision(FaultDecision decision) {
    if (!decision.goesOn()) {
      end();
    }
  }

  /** Returns whether the duty has ended; calls {@link DutyHandler#onEnd} the first time. */
  private boolean hasEnded() {
    if (ending && !ended) {
      ended = true;
      try {
        handler.onEnd();
      } catch (Throwable fault) {
        faultHandler.onFault(fault);
      }
    }
    return ended;
  }

  private void passUnhandled(E event) {
    try {
      handler.onUnhandledEvent(event);
    } catch (Throwable fault) {
      faultHandler.onFault(fault);
    }
  }

  /** An entry of the ring buffer. */
  private static final class Slot<E> {
    private E event;
    private long offeredNanos;
  }

  /** Calls the duty's handler from the Disruptor's thread, which is the duty's thread. */
  private final class SlotHandler implements EventHandler<Slot<E>> {

    @Override
    public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
      E event = slot.event;
      slot.event = null;
      long begun = System.nanoTime();
      handle(event);
      meter.onEvent(event, begun - slot.offeredNanos, System.nanoTime() - begun);
      if (endOfBatch && !hasEnded()) {
        endBatch();
      }
      tickWhenDue();
    }

    /** Handles an event. If the duty ends on it, the event counts as unhandled too. */
    private void handle(E event) {
      if (!hasEnded()) {
        try {
          handler.onEvent(event);
          return;
        } catch (Throwable fault) {
          applyDecision(faultHandler.onFault(fault));
        }
      }
      if (hasEnded()) {
        passUnhandled(event);
      }
    }

    private void endBatch() {
      try {
        handler.onBatchEnd();
      } catch (Throwable fault) {
        applyDecision(faultHandler.onFault(fault));
      }
    }

    @Override
    public void onTimeout(long sequence) {
      tickWhenDue();
    }
  }

  /**
   * Receives the faults outside the duty's handler, for example while waiting for events. The
   * Disruptor continues after them.
   */
  private final class UncaughtFaultHandler implements ExceptionHandler<Slot<E>> {

    @Override
    public void handleEventException(Throwable fault, long sequence, Slot<E> slot) {
      applyDecision(faultHandler.onFault(fault));
    }

    @Override
    public void handleOnStartException(Throwable fault) {
      applyDecision(faultHandler.onFault(fault));
    }

    @Override
    public void handleOnShutdownException(Throwable fault) {
      applyDecision(faultHandler.onFault(fault));
    }
  }
}
