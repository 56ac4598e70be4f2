package org.fallturn.node.duty;

import com.lmax.disruptor.AlertException;
import com.lmax.disruptor.Sequence;
import com.lmax.disruptor.SequenceBarrier;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.WaitStrategy;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Wait strategy of the Disruptor that blocks until the next event, for at most one tick interval.
 * Once no event has arrived for a second it waits for a longer, idle interval: a node has a dozen
 * duties and most of them are idle most of the time. Publishers may call from any thread; a single
 * consumer waits.
 */
final class TickWaitStrategy implements WaitStrategy {

  private static final long IDLE_AFTER_NANOS = 1_000_000_000L;

  private final Lock lock = new ReentrantLock();
  private final Condition published = lock.newCondition();
  private final long tickNanos;
  private final long idleTickNanos;
  private long lastEventNanos;

  /**
   * Creates the strategy.
   *
   * @param tickNanos longest wait of a busy consumer, in nanoseconds
   * @param idleTickNanos longest wait of an idle consumer, in nanoseconds
   */
  TickWaitStrategy(long tickNanos, long idleTickNanos) {
    this.tickNanos = tickNanos;
    this.idleTickNanos = idleTickNanos;
    this.lastEventNanos = System.nanoTime();
  }

  @Override
  public long waitFor(
      long sequence, Sequence cursor, Sequence dependentSequence, SequenceBarrier barrier)
      throws AlertException, InterruptedException, TimeoutException {
    if (cursor.get() < sequence) {
      awaitPublication(sequence, cursor, barrier);
    }
    lastEventNanos = System.nanoTime();
    long available = dependentSequence.get();
    while (available < sequence) {
      barrier.checkAlert();
      Thread.onSpinWait();
      available = dependentSequence.get();
    }
    return available;
  }

  private void awaitPublication(long sequence, Sequence cursor, SequenceBarrier barrier)
      throws AlertException, InterruptedException, TimeoutException {
    boolean idle = System.nanoTime() - lastEventNanos > IDLE_AFTER_NANOS;
    long left = idle ? idleTickNanos : tickNanos;
    lock.lock();
    try {
      while (cursor.get() < sequence) {
        barrier.checkAlert();
        left = published.awaitNanos(left);
        if (left <= 0) {
          throw TimeoutException.INSTANCE;
        }
      }
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void signalAllWhenBlocking() {
    lock.lock();
    try {
      published.signalAll();
    } finally {
      lock.unlock();
    }
  }
}
