package org.fallturn.rehearsal.emulator;

import java.io.PrintStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.fallturn.core.domain.NetworkAddress;

/**
 * What became of the quickstart's requests: by path, by gateway and by engine. One thread uses it.
 */
final class QuickstartReport {

  private static final int HTTP_OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /** Later is late: the longest latency target of the routes that are played. */
  private static final Duration LATE = Duration.ofSeconds(1);

  private final Map<String, Counts> byPath = new TreeMap<>();
  private final Map<String, Counts> byGateway = new TreeMap<>();
  private final Set<String> notRepeatable = new HashSet<>();
  private final Counts all = new Counts();

  /**
   * A request that was sent.
   *
   * @param path where it went
   * @param gateway the gateway that was asked
   * @param call the call
   * @param nanos how long its whole answer took
   */
  record Played(
      String path,
      NetworkAddress gateway,
      EmulatedClient.Call call,
      CompletableFuture<Long> nanos) {}

  /** How requests ended. */
  private static final class Counts {
    private int asked;
    private int served;
    private int late;
    private int refused;
    private int failed;

    void add(EmulatedClient.Answer answer, long nanos) {
      asked++;
      if (isWhole(answer)) {
        served++;
        late += nanos > LATE.toNanos() ? 1 : 0;
      } else if (answer.status() == TOO_MANY_REQUESTS || answer.status() == UNAVAILABLE) {
        refused++;
      } else {
        failed++;
      }
    }

    private static boolean isWhole(EmulatedClient.Answer answer) {
      boolean stream = answer.body().startsWith("id: 1\n");
      boolean application = answer.body().startsWith("answer of ");
      return answer.whole() && answer.status() == HTTP_OK && (stream || application);
    }

    String text() {
      return String.format(
          "%4d asked, %4d served (%d of them late), %d refused, %d failed",
          asked, served, late, refused, failed);
    }
  }

  /** Waits for the answer and counts it. */
  void add(Played played) {
    EmulatedClient.Answer answer = played.call().answer().join();
    long nanos = played.nanos().join();
    all.add(answer, nanos);
    byPath.computeIfAbsent(played.path(), path -> new Counts()).add(answer, nanos);
    byGateway
        .computeIfAbsent(played.gateway().toString(), gateway -> new Counts())
        .add(answer, nanos);
    if (played.path().equals(EmulatedPlatform.NON_IDEMPOTENT)) {
      notRepeatable.add(answer.requestId());
    }
  }

  /**
   * Prints it.
   *
   * @return whether every answer was whole and right and nothing that may not be repeated ran twice
   */
  boolean print(PrintStream out, List<EmulatedEngine> engines) {
    byPath.forEach((path, counts) -> out.printf("path    %-18s %s%n", path, counts.text()));
    byGateway.forEach(
        (gateway, counts) -> out.printf("gateway %-18s %s%n", gateway, counts.text()));
    int doubled = 0;
    Set<String> seen = new HashSet<>();
    for (EmulatedEngine engine : engines) {
      out.printf("engine %-4s ran %d requests%n", engine.id(), engine.runs().size());
      for (String run : engine.runs()) {
        doubled += notRepeatable.contains(run) && !seen.add(run) ? 1 : 0;
      }
    }
    out.printf("all %s, %d ran twice though they may not%n", all.text(), doubled);
    boolean good = all.served == all.asked && doubled == 0;
    out.println(good ? "GOOD: every answer was whole and right" : "NOT GOOD");
    return good;
  }
}
