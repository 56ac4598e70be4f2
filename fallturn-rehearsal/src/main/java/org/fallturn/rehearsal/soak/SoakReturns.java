package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.StreamEvents;

/**
 * Callers whose streams begin at gateways that are in step and are taken up at the one that is out
 * of step, each as if its last events had not come. Thread-safe.
 */
final class SoakReturns {

  private static final Duration DEADLINE = Duration.ofSeconds(3);
  private static final int PROMPT = 300;
  private static final int CHECK_MILLIS = 10;

  private final SoakFleet fleet;
  private final EmulatedClient client;
  private final Queue<SoakRecord.Call> calls;
  private final Queue<SoakRecord.Resumption> resumptions = new ConcurrentLinkedQueue<>();

  /**
   * Callers that have not begun.
   *
   * @param calls where the requests that begin streams are noted
   */
  SoakReturns(SoakFleet fleet, EmulatedClient client, Queue<SoakRecord.Call> calls) {
    this.fleet = fleet;
    this.client = client;
    this.calls = calls;
  }

  /** Begins one stream and takes it up, if a gateway is out of step; else, waits for a moment. */
  void callOnce(Random random) throws InterruptedException, ExecutionException {
    Optional<SoakUpgrades.Upgrade> now = fleet.upgrades().current();
    if (now.isEmpty()) {
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
      return;
    }
    int others = Math.max(1, fleet.gateways().size() - 1);
    int elsewhere = fleet.indexOf(now.get().target()) + 1 + random.nextInt(others);
    EmulatedClient.Answer begun = begin(now.get().path(), elsewhere);
    Optional<String> version = StreamEvents.firstVersion(begun.body());
    if (version.isPresent()) {
      takeUp(now.get(), begun, version.get(), 1 + random.nextInt(StreamEvents.COUNT - 1));
    }
  }

  private EmulatedClient.Answer begin(String path, int target)
      throws InterruptedException, ExecutionException {
    long sent = System.nanoTime();
    EmulatedClient.Answer answer =
        client.send(fleet.gateway(target).callers(), path, PROMPT, DEADLINE).await();
    calls.add(
        SoakRecord.Call.of(answer, SoakRecord.Kind.RESUMABLE_STREAM, fleet.indexOf(target), sent));
    return answer;
  }

  /** Its answer is not waited for: the gateway may stand still. */
  private void takeUp(
      SoakUpgrades.Upgrade upgrade, EmulatedClient.Answer begun, String version, int last) {
    int target = upgrade.target();
    long sent = System.nanoTime();
    client
        .resume(fleet.gateway(target).callers(), upgrade.path(), PROMPT, begun.requestId(), last)
        .answer()
        .thenAccept(
            answer ->
                resumptions.add(
                    new SoakRecord.Resumption(
                        begun.requestId(),
                        fleet.indexOf(target),
                        sent,
                        version,
                        answer.status(),
                        answer.body(),
                        answer.whole(),
                        false)));
  }

  /** The streams that were taken up, as far as they have been answered. */
  Queue<SoakRecord.Resumption> resumptions() {
    return resumptions;
  }
}
