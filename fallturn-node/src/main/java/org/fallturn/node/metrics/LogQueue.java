package org.fallturn.node.metrics;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.event.KeyValuePair;

/**
 * The bounded queue between those who log and the one thread that writes. Whoever logs never waits:
 * what the queue cannot take is dropped and counted. The last fifth of the queue is kept for lines
 * that are not about a single request. Thread-safe.
 */
final class LogQueue extends AsyncAppender {

  private static final String REQUEST_FIELD = "request";
  private static final int KEPT_PART = 5;

  /** How long a process that ends waits for the reader of its last lines. */
  private static final int LONGEST_FLUSH_MILLIS = 200;

  private final AtomicLong dropped = new AtomicLong();

  LogQueue(int size) {
    setQueueSize(size);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setMaxFlushTime(LONGEST_FLUSH_MILLIS);
  }

  @Override
  protected void append(ILoggingEvent event) {
    int kept = isAboutRequest(event) ? getQueueSize() / KEPT_PART : 0;
    if (getRemainingCapacity() <= kept) {
      dropped.incrementAndGet();
      return;
    }
    super.append(event);
  }

  private static boolean isAboutRequest(ILoggingEvent event) {
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    return pairs != null && pairs.stream().anyMatch(pair -> pair.key.equals(REQUEST_FIELD));
  }

  /** Lines dropped since the last call. */
  long takeDropped() {
    return dropped.getAndSet(0);
  }

  /** Whether more than half of the queue is free. */
  boolean hasRoom() {
    return getRemainingCapacity() > getQueueSize() / 2;
  }
}
