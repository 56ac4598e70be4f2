package org.fallturn.rehearsal.overhead;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;

/** Reads a node's heap use from its metrics twice a second and keeps the highest. Thread-safe. */
final class HeapWatch implements AutoCloseable {

  private static final String HEAP = "jvm_memory_used_bytes{area=\"heap\"";
  private static final long INTERVAL_MILLIS = 500;

  private final HttpClient client;
  private final String uri;
  private final AtomicLong peak = new AtomicLong();
  private final Thread thread = new Thread(this::watch, "heap-watch");

  HeapWatch(HttpClient client, NetworkAddress operators) {
    this.client = client;
    this.uri = "http://" + operators + "/metrics";
    thread.setDaemon(true);
  }

  HeapWatch start() {
    thread.start();
    return this;
  }

  /** Highest use seen, in bytes. */
  long peakBytes() {
    return peak.get();
  }

  private void watch() {
    try {
      while (true) {
        peak.accumulateAndGet(read(), Math::max);
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private long read() throws InterruptedException {
    try {
      String metrics = client.GET(uri).getContentAsString();
      return (long)
          metrics
              .lines()
              .filter(line -> line.startsWith(HEAP))
              .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
              .sum();
    } catch (ExecutionException | TimeoutException e) {
      return 0;
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
