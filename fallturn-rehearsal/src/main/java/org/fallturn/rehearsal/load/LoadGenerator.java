package org.fallturn.rehearsal.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.node.json.JsonCodec;

/**
 * Plays a load: requests arrive by a Poisson process a class, whether or not earlier ones are
 * answered, and times count from the intended start. {@link #run()} blocks its caller until the
 * last answer or its timeout.
 */
public final class LoadGenerator implements AutoCloseable {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_PROBLEMS = 10;

  private final LoadSettings settings;
  private final JsonCodec codec = new JsonCodec();
  private final HttpClient client = new HttpClient();
  private final ConcurrentLinkedQueue<String> problems = new ConcurrentLinkedQueue<>();
  private final AtomicInteger problemCount = new AtomicInteger();
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Phaser unfinished = new Phaser(1);

  /** A generator that has not sent anything. */
  public LoadGenerator(LoadSettings settings) throws Exception {
    this.settings = settings;
    client.setMaxConnectionsPerDestination(settings.maxInFlight());
    client.setMaxRequestsQueuedPerDestination(settings.maxInFlight());
    client.start();
  }

  /** Arrivals of one class. */
  private static final class Stream {
    private final LoadClass loadClass;
    private final ClassStatistics statistics;
    private final SplittableRandom random;
    private final long seed;
    private long number;
    private double nextSeconds;

    Stream(LoadClass loadClass, long seed) {
      this.loadClass = loadClass;
      this.statistics = new ClassStatistics(loadClass.name());
      this.seed = seed * 31 + loadClass.name().hashCode();
      this.random = new SplittableRandom(this.seed);
      advance();
    }

    private void advance() {
      nextSeconds += -Math.log(1 - random.nextDouble()) / loadClass.requestsPerSecond();
    }

    PlannedCall take() {
      PlannedCall call = PlannedCall.draw(loadClass, number++, seed);
      advance();
      return call;
    }
  }

  /** Plays the load once. */
  public RunReport run() throws InterruptedException {
    List<Stream> streams = new ArrayList<>();
    for (LoadClass loadClass : settings.classes()) {
      streams.add(new Stream(loadClass, settings.seed()));
    }
    long started = System.nanoTime();
    double end = settings.duration().toNanos() / NANOS_PER_SECOND;
    for (Stream next = earliest(streams); next.nextSeconds < end; next = earliest(streams)) {
      long startNanos = started + (long) (next.nextSeconds * NANOS_PER_SECOND);
      PlannedCall call = next.take();
      waitUntil(startNanos);
      send(call, next.statistics, startNanos);
    }
    awaitAnswers();
    return report(streams, (System.nanoTime() - started) / NANOS_PER_SECOND);
  }

  private static Stream earliest(List<Stream> streams) {
    Stream earliest = streams.get(0);
    for (Stream stream : streams) {
      if (stream.nextSeconds < earliest.nextSeconds) {
        earliest = stream;
      }
    }
    return earliest;
  }

  private static void waitUntil(long nanos) {
    for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }

  private void send(PlannedCall call, ClassStatistics statistics, long startNanos) {
    if (inFlight.get() >= settings.maxInFlight()) {
      statistics.unsent();
      return;
    }
    inFlight.incrementAndGet();
    unfinished.register();
    new Caller(
            client, codec, settings, call, statistics, startNanos, this::problem, this::callEnded)
        .send();
  }

  private void callEnded() {
    inFlight.decrementAndGet();
    unfinished.arriveAndDeregister();
  }

  private void problem(String text) {
    if (problemCount.getAndIncrement() < MAX_PROBLEMS) {
      problems.add(text);
    }
  }

  private void awaitAnswers() throws InterruptedException {
    long millis = settings.answerTimeout().toMillis() * 2;
    try {
      unfinished.awaitAdvanceInterruptibly(unfinished.arrive(), millis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      problem(inFlight.get() + " answers neither came nor timed out");
    }
  }

  private RunReport report(List<Stream> streams, double seconds) {
    ClassStatistics all = new ClassStatistics("all");
    List<ClassReport> classes = new ArrayList<>();
    for (Stream stream : streams) {
      all.add(stream.statistics);
      classes.add(stream.statistics.report());
    }
    return new RunReport(all.report(), classes, seconds, 0, 0, 0, List.copyOf(problems));
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
