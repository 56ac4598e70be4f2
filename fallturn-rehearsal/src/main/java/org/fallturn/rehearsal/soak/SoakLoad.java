package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;

/** Callers that ask one request after the other of any gateway, and note what they get. */
final class SoakLoad implements AutoCloseable {

  private static final int CALLERS = 8;
  private static final Duration DEADLINE = Duration.ofSeconds(3);
  private static final int SHORT_PROMPT = 300;
  private static final int LONG_PROMPT = 17_000;

  /** Some 200 requests a second of all callers together, when answers come at once. */
  private static final int PAUSE_MILLIS = 30;

  /** Some six copies a second, of all such contents together. */
  private static final int POISON_PAUSE_MILLIS = 300;

  private final EmulatedClient client = new EmulatedClient();
  private final Queue<SoakRecord.Call> calls = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<SoakRecord.PoisonSend> poisonSends = new ConcurrentLinkedQueue<>();
  private final Queue<SentProbe> probes = new ConcurrentLinkedQueue<>();
  private final SoakFleet fleet;
  private volatile boolean stopped;

  /** A request on the route with an index among the added ones. */
  private record SentProbe(int route, int gateway, long sentNanos, int status) {}

  SoakLoad(SoakFleet fleet, long seed) throws Exception {
    this.fleet = fleet;
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(seed + caller);
      start("caller-" + caller, () -> ask(random));
    }
    Random random = new Random(seed - 1);
    start("poisoner", () -> sendPoisons(random));
    Random probing = new Random(seed - 2);
    start("prober", () -> sendProbes(probing));
  }

  private void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.start();
    threads.add(thread);
  }

  /** Asks for the newest route that was added, or for one before it. */
  private void sendProbes(Random random) {
    while (!stopped) {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MILLIS));
        int newest = fleet.routes().size() - 1;
        if (newest >= 0) {
          sendProbe(Math.max(0, newest - random.nextInt(2)), random.nextInt(Integer.MAX_VALUE));
        }
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException e) {
        throw new IllegalStateException("a call must end with an answer", e);
      }
    }
  }

  private void sendProbe(int route, int target) throws InterruptedException, ExecutionException {
    String path = "/" + fleet.routes().get(route).name() + "/x";
    long sent = System.nanoTime();
    EmulatedClient.Answer answer =
        client.send(fleet.gateway(target).callers(), path, 0, DEADLINE).await();
    probes.add(new SentProbe(route, fleet.indexOf(target), sent, answer.status()));
  }

  /**
   * The requests on added routes.
   *
   * @param counts whether what a gateway answered to a request of a time counts
   */
  List<SoakRecord.Probe> probes(BiPredicate<Integer, Long> counts) {
    return probes.stream()
        .filter(probe -> counts.test(probe.gateway(), probe.sentNanos()))
        .map(
            probe ->
                new SoakRecord.Probe(
                    fleet.routes().get(probe.route()),
                    probe.gateway(),
                    probe.sentNanos(),
                    probe.status()))
        .toList();
  }

  private void sendPoisons(Random random) {
    while (!stopped) {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(POISON_PAUSE_MILLIS));
        List<String> poisons = fleet.poisons();
        if (!poisons.isEmpty()) {
          sendPoison(poisons.get(random.nextInt(poisons.size())), random);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Its answer is not waited for, so that several copies come at once. */
  private void sendPoison(String body, Random random) {
    int target = random.nextInt(Integer.MAX_VALUE);
    EmulatedClient.Call call =
        client.sendContent(
            fleet.gateway(target).callers(), EmulatedPlatform.RESUMABLE, SHORT_PROMPT, body);
    poisonSends.add(new SoakRecord.PoisonSend(call.requestId(), body, fleet.indexOf(target)));
  }

  /** The contents that crash engines, as they were sent. */
  List<SoakRecord.PoisonSend> poisonSends() {
    return List.copyOf(poisonSends);
  }

  private void ask(Random random) {
    SoakRecord.Kind[] kinds = SoakRecord.Kind.values();
    while (!stopped) {
      try {
        askOnce(kinds[random.nextInt(kinds.length)], random);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MILLIS));
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException e) {
        throw new IllegalStateException("a call must end with an answer", e);
      }
    }
  }

  private void askOnce(SoakRecord.Kind kind, Random random)
      throws InterruptedException, ExecutionException {
    int target = random.nextInt(Integer.MAX_VALUE);
    SoakGateway gateway = fleet.gateway(target);
    int prompt = random.nextBoolean() ? SHORT_PROMPT : LONG_PROMPT;
    long sent = System.nanoTime();
    EmulatedClient.Answer answer =
        client.send(gateway.callers(), path(kind), kind.model() ? prompt : 0, DEADLINE).await();
    calls.add(
        new SoakRecord.Call(
            answer.requestId(),
            kind,
            fleet.indexOf(target),
            sent,
            System.nanoTime(),
            answer.leavingEngine(),
            answer.status(),
            answer.body(),
            answer.whole()));
  }

  private static String path(SoakRecord.Kind kind) {
    return switch (kind) {
      case STREAM -> EmulatedPlatform.STREAM;
      case RESUMABLE_STREAM -> EmulatedPlatform.RESUMABLE;
      case IDEMPOTENT -> EmulatedPlatform.IDEMPOTENT;
      case ONCE -> EmulatedPlatform.NON_IDEMPOTENT;
    };
  }

  /** Waits for the answers that are under way and gives all calls. */
  List<SoakRecord.Call> finish() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    return List.copyOf(calls);
  }

  @Override
  public void close() throws Exception {
    stopped = true;
    threads.forEach(Thread::interrupt);
    client.close();
  }
}
