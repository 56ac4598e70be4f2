package org.fallturn.node.metrics;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;

/**
 * Asynchronous appender with a bounded queue between the threads that log and the one thread that
 * writes. A logging thread never waits: lines for which the queue has no room are dropped and
 * counted. The last fifth of the queue is reserved for lines that do not concern a single request.
 * Thread-safe.
 */
final class LogQueue extends AsyncAppender {

  private static final String REQUEST_FIELD = "request";
  private static final int RESERVED_PART_DIVISOR = 5;

  /** How long a process that ends waits until its last lines are read, in milliseconds. */
  private static final int MAX_FLUSH_MILLIS = 200;

  private final AtomicLong dropped = new AtomicLong();

  /**
   * Creates an appender that drops lines instead of blocking.
   *
   * @param size capacity of the queue, in lines
   */
  LogQueue(int size) {
    setQueueSize(size);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setMaxFlushTime(MAX_FLUSH_MILLIS);
  }

  @Override
  protected void append(ILoggingEvent event) {
    int reserved = isAboutRequest(event) ? getQueueSize() / RESERVED_PART_DIVISOR : 0;
    if (getRemainingCapacity() <= reserved) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }

  private static boolean isAboutRequest(ILoggingEvent event) {
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    return pairs != null && pairs.stream().anyMatch(pair -> pair.key.equals(REQUEST_FIELD));
  }

  /** Returns the number of lines dropped since the last call. */
  long takeDropped() {
    return dropped.getAndSet(0);
  }

  /** Returns whether more than half of the queue is free. */
  boolean hasRoom() {
    return getRemainingCapacity() > getQueueSize() / 2;
  }
}
