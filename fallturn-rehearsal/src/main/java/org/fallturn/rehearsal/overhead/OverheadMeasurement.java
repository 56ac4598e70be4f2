package org.fallturn.rehearsal.overhead;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.fallturn.node.engine.EngineClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.fleet.ManagedProcess;
import org.fallturn.rehearsal.overhead.OverheadReport.Latency;

/**
 * Plays the same load straight to the engines and through a node, in turn, and prints what the node
 * adds. Used by one thread.
 */
public final class OverheadMeasurement {

  private static final int DECODERS = 2;
  private static final double TIME_SCALE = 20;
  private static final int CLIENT_THREADS = 64;
  private static final int CONNECTIONS = 1024;
  private static final int WARM_UP_REQUESTS = 10_000;
  private static final int WARM_UP_STREAMS = 500;
  private static final int WARM_UP_CONCURRENT = 16;
  private static final double REQUESTS_PER_SECOND = 300;
  private static final int REQUESTS_A_ROUND = 3_000;
  private static final int PROMPT_WORDS = 64;
  private static final int OUTPUT_TOKENS = 16;
  private static final int STREAMS = 96;
  private static final int STREAM_REQUESTS = 1_000;
  private static final int STREAM_TOKENS = 400;
  private static final long READY_SECONDS = 90;
  private static final double TARGET_ADDED_MILLIS = 2;
  private static final double TARGET_TOKENS_A_CORE = 50_000;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MEBIBYTE = 1024 * 1024;

  private final PrintStream output;
  private final OverheadLoad load;
  private final int rounds;

  /**
   * A measurement that prints to {@code output}.
   *
   * @param seed drives prompts and arrivals
   * @param rounds latency rounds each way
   */
  public OverheadMeasurement(PrintStream output, long seed, int rounds) {
    this.output = output;
    this.load = new OverheadLoad(seed);
    this.rounds = rounds;
  }

  /**
   * Runs it.
   *
   * @param directory where the processes log
   */
  public OverheadReport run(Path directory) throws Exception {
    HttpClient client = startClient();
    try (OverheadFleet fleet = new OverheadFleet(directory)) {
      fleet.start(DECODERS, client, TIME_SCALE);
      EngineClient engines = new EngineClient(client, new JsonCodec());
      CompletionTarget direct = new DirectTarget(engines, fleet.prefill(), fleet.decoders());
      CompletionTarget node = new NodeTarget(client, fleet.node().address("callers"));
      awaitReady(node);
      try (HeapWatch heap = new HeapWatch(client, fleet.node().address("operators")).start()) {
        warmUp(direct, node);
        Rounds latency = measureLatency(direct, node, fleet.node());
        Streams streams = measureThroughput(direct, node, fleet.node());
        OverheadReport report = report(latency, streams, heap.peakBytes());
        print(report);
        return report;
      }
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

  /** Lets the compilers of all processes finish, so that their time is not taken for the node's. */
  private void warmUp(CompletionTarget direct, CompletionTarget node) throws InterruptedException {
    for (CompletionTarget target : List.of(direct, node)) {
      load.closedLoop(target, WARM_UP_CONCURRENT, WARM_UP_REQUESTS, PROMPT_WORDS, OUTPUT_TOKENS);
      load.closedLoop(target, STREAMS, WARM_UP_STREAMS, PROMPT_WORDS, STREAM_TOKENS);
    }
  }

  /** The latency rounds, added up. */
  private record Rounds(Summary direct, Summary node, Duration processorTime) {}

  /** Many long answers at once. */
  private record Streams(
      OverheadLoad.Outcome direct, OverheadLoad.Outcome node, Duration processorTime) {}

  private Rounds measureLatency(
      CompletionTarget direct, CompletionTarget node, ManagedProcess process)
      throws InterruptedException {
    Rounds sum = new Rounds(new Summary(), new Summary(), Duration.ZERO);
    for (int round = 0; round < rounds; round++) {
      sum.direct().add(atRate(direct));
      Duration before = process.processorTime();
      sum.node().add(atRate(node));
      Duration used = process.processorTime().minus(before);
      sum = new Rounds(sum.direct(), sum.node(), sum.processorTime().plus(used));
    }
    return sum;
  }

  private OverheadLoad.Outcome atRate(CompletionTarget target) throws InterruptedException {
    return load.atRate(target, REQUESTS_PER_SECOND, REQUESTS_A_ROUND, PROMPT_WORDS, OUTPUT_TOKENS);
  }

  private Streams measureThroughput(
      CompletionTarget direct, CompletionTarget node, ManagedProcess process)
      throws InterruptedException {
    OverheadLoad.Outcome directly = streams(direct);
    Duration before = process.processorTime();
    OverheadLoad.Outcome throughNode = streams(node);
    return new Streams(directly, throughNode, process.processorTime().minus(before));
  }

  private OverheadLoad.Outcome streams(CompletionTarget target) throws InterruptedException {
    return load.closedLoop(target, STREAMS, STREAM_REQUESTS, PROMPT_WORDS, STREAM_TOKENS);
  }

  private OverheadReport report(Rounds latency, Streams streams, long heapBytes) {
    int requests = rounds * REQUESTS_A_ROUND;
    Latency directWhole = latency(latency.direct().whole);
    Latency nodeWhole = latency(latency.node().whole);
    int failed =
        latency.direct().failed
            + latency.node().failed
            + streams.direct().failed()
            + streams.node().failed();
    return new OverheadReport(
        REQUESTS_PER_SECOND,
        requests,
        PROMPT_WORDS,
        OUTPUT_TOKENS,
        latency(latency.direct().first),
        latency(latency.node().first),
        directWhole,
        nodeWhole,
        nodeWhole.p99() - directWhole.p99(),
        latency.processorTime().toNanos() / NANOS_PER_MILLI / requests,
        rate(streams.direct(), streams.direct().elapsed()),
        rate(streams.node(), streams.node().elapsed()),
        rate(streams.node(), streams.processorTime()),
        heapBytes,
        failed);
  }

  private static double rate(OverheadLoad.Outcome outcome, Duration time) {
    return outcome.tokens() / (time.toNanos() / NANOS_PER_SECOND);
  }

  private static Latency latency(Histogram micros) {
    return new Latency(
        micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }

  private void print(OverheadReport report) {
    line(
        "%.0f requests/s, %d prompt words, up to %d tokens, %d requests each way",
        report.requestsPerSecond(),
        report.promptWords(),
        report.outputTokens(),
        report.requestsEachWay());
    print("first token, direct", report.directFirstToken());
    print("first token, node", report.nodeFirstToken());
    print("whole answer, direct", report.directWhole());
    print("whole answer, node", report.nodeWhole());
    line(
        "added p99 of the whole answer: %.2f ms (target under %.0f ms: %s)",
        report.addedP99Millis(),
        TARGET_ADDED_MILLIS,
        verdict(report.addedP99Millis() < TARGET_ADDED_MILLIS));
    line("processor time of the node: %.2f ms a request", report.nodeProcessorMillisPerRequest());
    line(
        "%d streams of up to %d tokens: %.0f tokens/s direct, %.0f tokens/s through the node",
        STREAMS, STREAM_TOKENS, report.directTokensPerSecond(), report.nodeTokensPerSecond());
    line(
        "streamed tokens a second of processor time: %.0f (target %.0f: %s)",
        report.tokensPerProcessorSecond(),
        TARGET_TOKENS_A_CORE,
        verdict(report.tokensPerProcessorSecond() >= TARGET_TOKENS_A_CORE));
    line(
        "highest heap use seen: %.0f MiB (target under 256)",
        report.nodeHeapPeakBytes() / BYTES_PER_MEBIBYTE);
    line("requests without a whole and right answer: %d", report.failed());
  }

  private void print(String what, Latency latency) {
    line(
        "%-20s  p50 %7.2f  p95 %7.2f  p99 %7.2f ms",
        what, latency.p50(), latency.p95(), latency.p99());
  }

  private void line(String format, Object... values) {
    output.printf(Locale.ROOT, format + "%n", values);
  }

  private static String verdict(boolean met) {
    return met ? "met" : "missed";
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
