package org.fallturn.node.duty;

import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One thread with one duty, fed by a bounded ring. Any thread may offer events; the handler runs on
 * the duty's thread alone. When the ring is full, {@link #offer} says so at once and the caller
 * decides what to drop. A duty that has had no event for a second is called less often on its tick.
 *
 * <p>The thread outlives every fault, since a ring that nobody empties holds its producers up: the
 * Disruptor by itself ends its thread at the first Throwable. A duty that cannot go on has its
 * events handed to {@link DutyHandler#onUnhandledEvent} from then on.
 *
 * @param <E> type of the events
 */
public final class DutyThread<E> implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(DutyThread.class);
  private static final long CLOSE_SECONDS = 5;
  private static final long IDLE_FACTOR = 5;
  private static final long MAX_IDLE_TICK_NANOS = 50_000_000L;

  private final String name;
  private final DutyHandler<E> handler;
  private final long tickNanos;
  private final Disruptor<Slot<E>> disruptor;
  private final RingBuffer<Slot<E>> ring;
  private DutyFaultHandler guard;
  private long lastTickNanos;
  private volatile boolean ending;
  private boolean ended;

  /**
   * A duty that is not started yet.
   *
   * @param name name of the thread
   * @param ringSize a power of two
   * @param tick about how often {@link DutyHandler#onTick()} is called; up to 50 ms apart when no
   *     event has come for a second
   * @param handler the duty
   */
  public DutyThread(String name, int ringSize, Duration tick, DutyHandler<E> handler) {
    this.name = name;
    this.handler = handler;
    this.tickNanos = tick.toNanos();
    this.disruptor =
        new Disruptor<>(
            Slot::new,
            ringSize,
            task -> daemon(name, task),
            ProducerType.MULTI,
            new TickWaitStrategy(tickNanos, idleTickNanos(tickNanos)));
    disruptor.setDefaultExceptionHandler(new LastGuard());
    disruptor.handleEventsWith(new SlotHandler());
    this.ring = disruptor.getRingBuffer();
  }

  /** A duty without events for a second ticks up to five times slower, but 20 times a second. */
  private static long idleTickNanos(long tickNanos) {
    return Math.max(tickNanos, Math.min(IDLE_FACTOR * tickNanos, MAX_IDLE_TICK_NANOS));
  }

  private static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** Starts the thread; faults are logged only. */
  public DutyThread<E> start() {
    return start(DutyState.LEARNED_AGAIN, FaultListener.LOG_ONLY);
  }

  /**
   * Starts the thread.
   *
   * @param faults hears of what the handler does not catch
   */
  public DutyThread<E> start(DutyState state, FaultListener faults) {
    guard = new DutyFaultHandler(name, state, faults);
    lastTickNanos = System.nanoTime();
    disruptor.start();
    return this;
  }

  /** Hands over an event; false when the ring is full and the event was not taken. */
  public boolean offer(E event) {
    return ring.tryPublishEvent((slot, sequence) -> slot.event = event);
  }

  /** The handler's work is over, though the thread goes on; any thread may call. */
  public void end() {
    ending = true;
  }

  /** Handles what is in the ring, then ends the thread. */
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
    lastTickNanos = now;
    try {
      handler.onTick();
      guard.onTickSuccess();
    } catch (Throwable fault) {
      follow(guard.onTickFault(fault));
    }
  }

  /** No pause where the duty goes on: its next events would wait for nothing. */
  private void follow(FaultDecision answer) {
    if (!answer.goesOn()) {
      end();
    }
  }

  /** Whether the handler's work is over; tells it so once. */
  private boolean hasEnded() {
    if (ending && !ended) {
      ended = true;
      try {
        handler.onEnd();
      } catch (Throwable fault) {
        guard.onFault(fault);
      }
    }
    return ended;
  }

  private void handOver(E event) {
    try {
      handler.onUnhandledEvent(event);
    } catch (Throwable fault) {
      guard.onFault(fault);
    }
  }

  /** One place in the ring. */
  private static final class Slot<E> {
    private E event;
  }

  /** Runs the handler on the duty's thread. */
  private final class SlotHandler implements EventHandler<Slot<E>> {

    @Override
    public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
      E event = slot.event;
      slot.event = null;
      handle(event);
      if (endOfBatch && !hasEnded()) {
        endBatch();
      }
      tickWhenDue();
    }

    /** The event that the duty failed on is left undone, and so is late too. */
    private void handle(E event) {
      if (!hasEnded()) {
        try {
          handler.onEvent(event);
          return;
        } catch (Throwable fault) {
          follow(guard.onFault(fault));
        }
      }
      if (hasEnded()) {
        handOver(event);
      }
    }

    private void endBatch() {
      try {
        handler.onBatchEnd();
      } catch (Throwable fault) {
        follow(guard.onFault(fault));
      }
    }

    @Override
    public void onTimeout(long sequence) {
      tickWhenDue();
    }
  }

  /** What fails outside the handler, as while waiting; the Disruptor then goes on. */
  private final class LastGuard implements ExceptionHandler<Slot<E>> {

    @Override
    public void handleEventException(Throwable fault, long sequence, Slot<E> slot) {
      follow(guard.onFault(fault));
    }

    @Override
    public void handleOnStartException(Throwable fault) {
      follow(guard.onFault(fault));
    }

    @Override
    public void handleOnShutdownException(Throwable fault) {
      follow(guard.onFault(fault));
    }
  }
}
