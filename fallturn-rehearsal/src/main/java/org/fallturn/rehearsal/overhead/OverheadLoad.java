package org.fallturn.rehearsal.overhead;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Plays load against a target. Each call blocks until its load is over. */
final class OverheadLoad {

  private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(2);
  private static final int DIGITS = 3;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final Duration DRAIN = Duration.ofSeconds(60);

  private final Random random;

  OverheadLoad(long seed) {
    this.random = new Random(seed);
  }

  /**
   * What a load came to.
   *
   * @param first microseconds to the first token
   * @param whole microseconds to the whole answer
   * @param tokens tokens of all whole answers
   * @param failed requests without a whole and right answer
   * @param elapsed how long it took
   */
  record Outcome(Histogram first, Histogram whole, long tokens, int failed, Duration elapsed) {}

  /**
   * Sends requests at exponential intervals, whatever becomes of the earlier ones; latency counts
   * from the moment a request was due.
   */
  Outcome atRate(
      CompletionTarget target, double perSecond, int count, int promptWords, int maxTokens)
      throws InterruptedException {
    Recorder recorder = new Recorder(count);
    long start = System.nanoTime();
    double dueNanos = start;
    for (int index = 0; index < count; index++) {
      dueNanos += -Math.log(1 - random.nextDouble()) / perSecond * TimeUnit.SECONDS.toNanos(1);
      waitUntil((long) dueNanos);
      recorder.record((long) dueNanos, target, prompt(promptWords), maxTokens, () -> {});
    }
    return recorder.outcome(start);
  }

  /** Keeps a number of requests in progress until the count is reached. */
  Outcome closedLoop(
      CompletionTarget target, int concurrent, int count, int promptWords, int maxTokens)
      throws InterruptedException {
    Recorder recorder = new Recorder(count);
    Semaphore slots = new Semaphore(concurrent);
    long start = System.nanoTime();
    for (int index = 0; index < count; index++) {
      slots.acquire();
      recorder.record(System.nanoTime(), target, prompt(promptWords), maxTokens, slots::release);
    }
    return recorder.outcome(start);
  }

  private String prompt(int words) {
    StringBuilder prompt = new StringBuilder();
    for (int index = 0; index < words; index++) {
      prompt.append('w').append(random.nextInt(100_000)).append(' ');
    }
    return prompt.toString();
  }

  private static void waitUntil(long dueNanos) {
    long left = dueNanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = dueNanos - System.nanoTime();
    }
  }

  /** Gathers the results of one load. */
  private static final class Recorder {

    private final Histogram first = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
    private final Histogram whole = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);
    private final AtomicLong tokens = new AtomicLong();
    private final AtomicInteger failed = new AtomicInteger();
    private final CountDownLatch open;

    Recorder(int count) {
      open = new CountDownLatch(count);
    }

    void record(
        long dueNanos, CompletionTarget target, String prompt, int maxTokens, Runnable after) {
      target
          .complete(prompt, maxTokens)
          .whenComplete(
              (timing, failure) -> {
                if (failure == null) {
                  first.recordValue((timing.firstNanos() - dueNanos) / NANOS_PER_MICRO);
                  whole.recordValue((timing.lastNanos() - dueNanos) / NANOS_PER_MICRO);
                  tokens.addAndGet(timing.tokens());
                } else if (failed.incrementAndGet() == 1) {
                  System.err.println("overhead: First failure: " + failure);
                }
                after.run();
                open.countDown();
              });
    }

    Outcome outcome(long startNanos) throws InterruptedException {
      boolean done = open.await(DRAIN.toSeconds(), TimeUnit.SECONDS);
      Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
      int lost = done ? 0 : (int) open.getCount();
      return new Outcome(first, whole, tokens.get(), failed.get() + lost, elapsed);
    }
  }
}
