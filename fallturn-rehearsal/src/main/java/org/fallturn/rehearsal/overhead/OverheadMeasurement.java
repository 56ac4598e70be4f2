package org.fallturn.rehearsal.overhead;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.node.engine.EngineClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.fleet.ManagedProcess;

/**
 * Plays the same load straight to the engines and through a node, in turn, and prints what the node
 * adds. Used by one thread.
 */
public final class OverheadMeasurement {

  private static final int DECODERS = 2;
  private static final double TIME_SCALE = 20;
  private static final int CLIENT_THREADS = 64;
  private static final int CONNECTIONS = 1024;
  private static final int WARM_UP_REQUESTS = 4_000;
  private static final int WARM_UP_CONCURRENT = 16;
  private static final int ROUNDS = 5;
  private static final double REQUESTS_PER_SECOND = 300;
  private static final int REQUESTS_A_ROUND = 3_000;
  private static final int PROMPT_WORDS = 64;
  private static final int OUTPUT_TOKENS = 16;
  private static final int STREAMS = 96;
  private static final int STREAM_REQUESTS = 2_000;
  private static final int STREAM_TOKENS = 400;
  private static final long READY_SECONDS = 90;
  private static final double TARGET_ADDED_MILLIS = 2;
  private static final double TARGET_TOKENS_A_CORE = 50_000;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrintStream output;
  private final OverheadLoad load;

  /** A measurement that prints to {@code output}. */
  public OverheadMeasurement(PrintStream output, long seed) {
    this.output = output;
    this.load = new OverheadLoad(seed);
  }

  /**
   * Runs it.
   *
   * @param directory where the processes log
   * @return whether every answer was whole and right
   */
  public boolean run(Path directory) throws Exception {
    HttpClient client = startClient();
    try (OverheadFleet fleet = new OverheadFleet(directory)) {
      fleet.start(DECODERS, client, TIME_SCALE);
      EngineClient engines = new EngineClient(client, new JsonCodec());
      CompletionTarget direct = new DirectTarget(engines, fleet.prefill(), fleet.decoders());
      CompletionTarget node = new NodeTarget(client, fleet.node().address("callers"));
      awaitReady(node);
      int failed = warmUp(direct, node);
      failed += measureLatency(direct, node, fleet.node());
      failed += measureThroughput(direct, node, fleet.node());
      output.printf(Locale.ROOT, "requests without a whole and right answer: %d%n", failed);
      return failed == 0;
    } finally {
      client.stop();
    }
  }

  private static HttpClient startClient() throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS);
    threads.setDaemon(true);
    HttpClient client = new HttpClient();
    client.setExecutor(threads);
    client.setMaxConnectionsPerDestination(CONNECTIONS);
    client.start();
    return client;
  }

  private static void awaitReady(CompletionTarget node) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (true) {
      try {
        node.complete("ready ?", 1).get();
        return;
      } catch (ExecutionException e) {
        if (System.nanoTime() - deadline > 0) {
          throw e;
        }
        TimeUnit.MILLISECONDS.sleep(100);
      }
    }
  }

  private int warmUp(CompletionTarget direct, CompletionTarget node) throws Exception {
    int failed = 0;
    for (CompletionTarget target : new CompletionTarget[] {direct, node}) {
      failed +=
          load.closedLoop(target, WARM_UP_CONCURRENT, WARM_UP_REQUESTS, PROMPT_WORDS, OUTPUT_TOKENS)
              .failed();
    }
    return failed;
  }

  private int measureLatency(CompletionTarget direct, CompletionTarget node, ManagedProcess process)
      throws Exception {
    Summary directly = new Summary();
    Summary throughNode = new Summary();
    Duration processorTime = Duration.ZERO;
    for (int round = 0; round < ROUNDS; round++) {
      directly.add(atRate(direct));
      Duration before = process.processorTime();
      throughNode.add(atRate(node));
      processorTime = processorTime.plus(process.processorTime().minus(before));
    }
    output.printf(
        Locale.ROOT,
        "%.0f requests/s, %d prompt and %d output tokens, %d requests each way in %d rounds%n",
        REQUESTS_PER_SECOND,
        PROMPT_WORDS,
        OUTPUT_TOKENS,
        ROUNDS * REQUESTS_A_ROUND,
        ROUNDS);
    print("first token", directly.first, throughNode.first);
    print("whole answer", directly.whole, throughNode.whole);
    double added = added(directly.whole, throughNode.whole, 99);
    output.printf(
        Locale.ROOT,
        "added p99 of the whole answer: %.2f ms (target under %.0f ms: %s)%n",
        added,
        TARGET_ADDED_MILLIS,
        added < TARGET_ADDED_MILLIS ? "met" : "missed");
    output.printf(
        Locale.ROOT,
        "processor time of the node: %.2f ms a request%n",
        processorTime.toNanos() / 1e6 / (ROUNDS * REQUESTS_A_ROUND));
    return directly.failed + throughNode.failed;
  }

  private OverheadLoad.Outcome atRate(CompletionTarget target) throws InterruptedException {
    return load.atRate(target, REQUESTS_PER_SECOND, REQUESTS_A_ROUND, PROMPT_WORDS, OUTPUT_TOKENS);
  }

  private int measureThroughput(
      CompletionTarget direct, CompletionTarget node, ManagedProcess process) throws Exception {
    OverheadLoad.Outcome directly =
        load.closedLoop(direct, STREAMS, STREAM_REQUESTS, PROMPT_WORDS, STREAM_TOKENS);
    Duration before = process.processorTime();
    OverheadLoad.Outcome throughNode =
        load.closedLoop(node, STREAMS, STREAM_REQUESTS, PROMPT_WORDS, STREAM_TOKENS);
    Duration used = process.processorTime().minus(before);
    double aCore = throughNode.tokens() / (used.toNanos() / NANOS_PER_SECOND);
    output.printf(
        Locale.ROOT,
        "%d streams of up to %d tokens: %.0f tokens/s directly, %.0f tokens/s through the node%n",
        STREAMS,
        STREAM_TOKENS,
        rate(directly),
        rate(throughNode));
    output.printf(
        Locale.ROOT,
        "streamed tokens a second of processor time: %.0f (target %.0f: %s)%n",
        aCore,
        TARGET_TOKENS_A_CORE,
        aCore >= TARGET_TOKENS_A_CORE ? "met" : "missed");
    return directly.failed() + throughNode.failed();
  }

  private static double rate(OverheadLoad.Outcome outcome) {
    return outcome.tokens() / (outcome.elapsed().toNanos() / NANOS_PER_SECOND);
  }

  private void print(String what, Histogram directly, Histogram throughNode) {
    output.printf(
        Locale.ROOT,
        "%-12s  direct p50 %.2f p95 %.2f p99 %.2f ms   node p50 %.2f p95 %.2f p99 %.2f ms%n",
        what,
        millis(directly, 50),
        millis(directly, 95),
        millis(directly, 99),
        millis(throughNode, 50),
        millis(throughNode, 95),
        millis(throughNode, 99));
  }

  private static double added(Histogram directly, Histogram throughNode, double percentile) {
    return millis(throughNode, percentile) - millis(directly, percentile);
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** The rounds of one way, added up. */
  private static final class Summary {
    private final Histogram first = new Histogram(3);
    private final Histogram whole = new Histogram(3);
    private int failed;

    void add(OverheadLoad.Outcome outcome) {
      first.add(outcome.first());
      whole.add(outcome.whole());
      failed += outcome.failed();
    }
  }
}
