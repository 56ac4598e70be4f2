package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.emulator.StreamEvents;

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

  /** Some six requests a second whose runs take long. */
  private static final int LONG_PAUSE_MILLIS = 300;

  /** Callers that come back to a gateway that is out of step. */
  private static final int RETURNING_CALLERS = 2;

  private static final int LEAVERS = 4;
  private static final int FIRST_LEAVER = 5;
  private static final int LEAVES_AT_ONCE_MILLIS = 20;
  private static final int LEAVES_LATER_MILLIS = 1_200;

  private static final Duration LONG_DEADLINE = Duration.ofSeconds(8);

  /** One whole stream in so many is continued as if its last events had not come. */
  private static final int RESUMED_ONE_IN = 4;

  private static final int RESUME_TRIES = 2;

  /** A resumption is promised to succeed while so many engines of its version serve. */
  private static final int ENGINES_OF_A_PROMISE = 2;

  private final EmulatedClient client = new EmulatedClient();
  private final Queue<SoakRecord.Call> calls = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<SoakRecord.PoisonSend> poisonSends = new ConcurrentLinkedQueue<>();
  private final Queue<SoakRecord.Resumption> resumptions = new ConcurrentLinkedQueue<>();
  private final Queue<SoakRecord.Departure> departures = new ConcurrentLinkedQueue<>();
  private final Queue<SentProbe> probes = new ConcurrentLinkedQueue<>();
  private final SoakFleet fleet;
  private final SoakReturns returns;
  private final SoakRetries retries;
  private volatile boolean stopped;

  /** A request on the route with an index among the added ones. */
  private record SentProbe(int route, int gateway, long sentNanos, int status) {}

  SoakLoad(SoakFleet fleet, long seed) throws Exception {
    this.fleet = fleet;
    this.returns = new SoakReturns(fleet, client, calls);
    this.retries = new SoakRetries(fleet, client, calls);
    client.setHeaders(HttpFields.build().add(HttpHeader.AUTHORIZATION, "Bearer " + SoakFleet.KEY));
    for (int caller = 0; caller < CALLERS; caller++) {
      Random random = new Random(seed + caller);
      start("caller-" + caller, () -> ask(random));
    }
    Random random = new Random(seed - 1);
    start("poisoner", () -> sendPoisons(random));
    Random poisoningParts = new Random(seed - 3);
    start("part-poisoner", () -> sendPoisonParts(poisoningParts));
    Random probing = new Random(seed - 2);
    start("prober", () -> sendProbes(probing));
    Random running = new Random(seed - 4);
    start("long-caller", () -> sendLongRuns(running));
    for (int leaver = 0; leaver < LEAVERS; leaver++) {
      Random leaving = new Random(seed - FIRST_LEAVER - leaver);
      start("leaver-" + leaver, () -> leaveEarly(leaving));
    }
    for (int caller = 0; caller < RETURNING_CALLERS; caller++) {
      Random returning = new Random(seed - FIRST_LEAVER - LEAVERS - caller);
      start("returner-" + caller, () -> comeBack(returning));
    }
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

  /** Their answers are not waited for: they only have to be counted. */
  private void sendLongRuns(Random random) {
    while (!stopped) {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(LONG_PAUSE_MILLIS));
        int target = random.nextInt(Integer.MAX_VALUE);
        client.send(fleet.gateway(target).callers(), EmulatedPlatform.LONG, 0, LONG_DEADLINE);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Some callers leave at once, others after up to a second or so without an answer. */
  private void leaveEarly(Random random) {
    SoakRecord.Kind[] kinds = SoakRecord.Kind.values();
    while (!stopped) {
      try {
        SoakRecord.Kind kind = kinds[random.nextInt(kinds.length)];
        int target = random.nextInt(Integer.MAX_VALUE);
        int patience = random.nextBoolean() ? LEAVES_AT_ONCE_MILLIS : LEAVES_LATER_MILLIS;
        EmulatedClient.Call call =
            client.send(
                fleet.gateway(target).callers(),
                path(kind),
                kind.model() ? SHORT_PROMPT : 0,
                DEADLINE);
        TimeUnit.MILLISECONDS.sleep(random.nextInt(patience));
        leave(call, kind, fleet.indexOf(target));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void leave(EmulatedClient.Call call, SoakRecord.Kind kind, int gateway) {
    if (!call.answer().isDone()) {
      call.leave();
      departures.add(
          new SoakRecord.Departure(call.requestId(), kind, gateway, System.nanoTime(), true));
    }
  }

  /** The callers that left before they had an answer. */
  List<SoakRecord.Departure> departures() {
    return List.copyOf(departures);
  }

  private void sendPoisonParts(Random random) {
    while (!stopped) {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(POISON_PAUSE_MILLIS));
        List<String> parts = fleet.poisonParts();
        if (!parts.isEmpty()) {
          sendPoisonPart(parts.get(random.nextInt(parts.size())), random);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** It begins as all other prompts do; its answer is not waited for. */
  private void sendPoisonPart(String part, Random random) {
    int target = fleet.target(random);
    EmulatedClient.Call call =
        client.sendWithParts(
            fleet.gateway(target).callers(),
            EmulatedPlatform.RESUMABLE,
            List.of(EmulatedClient.FIRST_PART, part));
    poisonSends.add(new SoakRecord.PoisonSend(call.requestId(), part, fleet.indexOf(target)));
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

  private void comeBack(Random random) {
    while (!stopped) {
      try {
        returns.callOnce(random);
      } catch (InterruptedException e) {
        return;
      } catch (ExecutionException e) {
        throw new IllegalStateException("a call must end with an answer", e);
      }
    }
  }

  private void askOnce(SoakRecord.Kind kind, Random random)
      throws InterruptedException, ExecutionException {
    int target = fleet.target(random);
    SoakGateway gateway = fleet.gateway(target);
    boolean ownConnection = fleet.isCrowded();
    int prompt = random.nextBoolean() ? SHORT_PROMPT : LONG_PROMPT;
    long sent = System.nanoTime();
    EmulatedClient.Call call =
        client.send(
            gateway.callers(), path(kind), kind.model() ? prompt : 0, DEADLINE, ownConnection);
    EmulatedClient.Answer answer = call.await();
    if (kind == SoakRecord.Kind.RESUMABLE_STREAM) {
      resume(answer, prompt, random);
    }
    calls.add(SoakRecord.Call.of(answer, kind, fleet.indexOf(target), sent));
    retries.callAgain(call, kind, target, sent + DEADLINE.toNanos(), random);
  }

  /**
   * Continues a stream that broke off after its first event, and some that did not, as callers do
   * whose connection broke; at any gateway, until its end has come or for a few tries.
   */
  private void resume(EmulatedClient.Answer begun, int prompt, Random random)
      throws InterruptedException, ExecutionException {
    Optional<String> version = StreamEvents.firstVersion(begun.body());
    boolean pretend = begun.whole() && random.nextInt(RESUMED_ONE_IN) == 0;
    if (version.isEmpty() || begun.whole() && !pretend) {
      return;
    }
    int last =
        pretend ? 1 + random.nextInt(StreamEvents.COUNT - 1) : StreamEvents.last(begun.body());
    for (int attempt = 0; attempt < RESUME_TRIES && last < StreamEvents.COUNT; attempt++) {
      int target = random.nextInt(Integer.MAX_VALUE);
      int before = fleet.decoders(version.get());
      long sent = System.nanoTime();
      EmulatedClient.Answer answer =
          client.resume(fleet.gateway(target).callers(), prompt, begun.requestId(), last).await();
      boolean promised = Math.min(before, fleet.decoders(version.get())) >= ENGINES_OF_A_PROMISE;
      resumptions.add(
          new SoakRecord.Resumption(
              begun.requestId(),
              fleet.indexOf(target),
              sent,
              version.get(),
              answer.status(),
              answer.body(),
              answer.whole(),
              promised));
      if (StreamEvents.firstVersion(answer.body()).isPresent()) {
        last = StreamEvents.last(answer.body());
      }
    }
  }

  /** The streams that callers continued. */
  List<SoakRecord.Resumption> resumptions() {
    List<SoakRecord.Resumption> all = new ArrayList<>(resumptions);
    all.addAll(returns.resumptions());
    return all;
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
