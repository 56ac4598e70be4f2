package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.fallturn.rehearsal.emulator.EmulatedClient;

/**
 * Callers that were refused and send their requests again with the same id, to the same gateway or
 * another, at once or when they were told to. Thread-safe.
 */
final class SoakRetries {

  private static final double RETRIED_PART = 0.75;
  private static final int MOST_TRIES = 4;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** With less time left a request is given up. */
  private static final Duration SHORTEST_DEADLINE = Duration.ofMillis(200);

  private final SoakFleet fleet;
  private final EmulatedClient client;
  private final Queue<SoakRecord.Call> calls;

  /**
   * Callers that have not begun.
   *
   * @param calls where the tries are noted
   */
  SoakRetries(SoakFleet fleet, EmulatedClient client, Queue<SoakRecord.Call> calls) {
    this.fleet = fleet;
    this.client = client;
    this.calls = calls;
  }

  /**
   * Sends some refused requests again, until they are no longer refused or for a few tries.
   *
   * @param asked the target of the first try
   * @param endNanos when the caller gives up
   */
  void callAgain(
      EmulatedClient.Call first, SoakRecord.Kind kind, int asked, long endNanos, Random random)
      throws InterruptedException, ExecutionException {
    EmulatedClient.Answer answer = first.await();
    if (!SoakTries.isRefused(answer.status()) || random.nextDouble() >= RETRIED_PART) {
      return;
    }
    int target = asked;
    for (int tries = 1; tries < MOST_TRIES && SoakTries.isRefused(answer.status()); tries++) {
      Duration pause = random.nextBoolean() ? Duration.ZERO : retryAfter(answer);
      Duration left = Duration.ofNanos(endNanos - System.nanoTime()).minus(pause);
      if (left.compareTo(SHORTEST_DEADLINE) < 0) {
        return;
      }
      TimeUnit.NANOSECONDS.sleep(pause.toNanos());
      target = random.nextBoolean() ? target : random.nextInt(Integer.MAX_VALUE);
      long sent = System.nanoTime();
      answer = client.sendAgain(first, fleet.gateway(target).callers(), left).await();
      calls.add(SoakRecord.Call.of(answer, kind, fleet.indexOf(target), sent));
    }
  }

  private static Duration retryAfter(EmulatedClient.Answer answer) {
    String seconds = answer.headers().get(HttpHeader.RETRY_AFTER);
    return seconds == null
        ? Duration.ZERO
        : Duration.ofMillis((long) (Double.parseDouble(seconds) * MILLIS_PER_SECOND));
  }
}
