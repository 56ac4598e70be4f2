package org.fallturn.rehearsal.faultload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.CallResult.Verdict;
import org.fallturn.rehearsal.fleet.FleetCaller;
import org.fallturn.rehearsal.fleet.FleetConfiguration;

/**
 * Callers of both kinds on a few threads: completions checked byte by byte, and actions that must
 * run at most once, retried at other nodes under the same key until their outcome is settled.
 * Thread-safe.
 */
final class CheckedLoad implements AutoCloseable {

  private static final int THREADS = 6;
  private static final int MAX_TOKENS = 60;
  private static final int MAX_TRIES = 4;
  private static final long PAUSE_MILLIS = 20;
  private static final long JOIN_SECONDS = 60;

  private final FleetCaller caller;
  private final long seed;
  private final List<NetworkAddress> nodes = new CopyOnWriteArrayList<>();
  private final List<Call> calls = new CopyOnWriteArrayList<>();
  private final Map<String, Boolean> neverRan = new ConcurrentHashMap<>();
  private final Set<String> keys = ConcurrentHashMap.newKeySet();
  private final AtomicLong numbers = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;

  /** One call and when it was under way. */
  record Call(long fromNanos, long toNanos, CallResult result) {}

  CheckedLoad(FleetCaller caller, long seed, List<NetworkAddress> nodes) {
    this.caller = caller;
    this.seed = seed;
    this.nodes.addAll(nodes);
  }

  void start() {
    for (int index = 0; index < THREADS; index++) {
      Random random = new Random(seed * THREADS + index);
      Thread thread = new Thread(() -> run(random), "fault-load-" + index);
      threads.add(thread);
      thread.start();
    }
  }

  /** Callers use this node too from now on. */
  void add(NetworkAddress node) {
    nodes.add(node);
  }

  /** Callers use this node no more. */
  void remove(NetworkAddress node) {
    nodes.remove(node);
  }

  private void run(Random random) {
    while (!stopped) {
      long number = numbers.incrementAndGet();
      if (random.nextInt(5) < 3) {
        complete(number, random);
      } else {
        act("action-" + seed + "-" + number, random);
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void complete(long number, Random random) {
    String prompt = "Household " + random.nextInt(5) + " asks for list " + number;
    int tokens = 1 + random.nextInt(MAX_TOKENS);
    NetworkAddress node = node(random);
    note(() -> caller.complete(node, prompt, tokens));
  }

  private void act(String key, Random random) {
    keys.add(key);
    boolean saidNotRun = true;
    for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
      NetworkAddress node = node(random);
      CallResult result = note(() -> caller.act(node, FleetConfiguration.ONCE_SERVICE, key, key));
      saidNotRun &= result.verdict() == Verdict.NOT_RUN;
      if (result.verdict() == Verdict.COMPLETE) {
        break;
      }
    }
    if (saidNotRun) {
      neverRan.put(key, true);
    }
  }

  private NetworkAddress node(Random random) {
    List<NetworkAddress> known = List.copyOf(nodes);
    return known.get(random.nextInt(known.size()));
  }

  private CallResult note(java.util.function.Supplier<CallResult> call) {
    long from = System.nanoTime();
    CallResult result = call.get();
    calls.add(new Call(from, System.nanoTime(), result));
    return result;
  }

  /** Every call so far. */
  List<Call> calls() {
    return calls;
  }

  /** Keys of every action. */
  Set<String> keys() {
    return keys;
  }

  /** Keys of the actions whose every attempt was said not to have run. */
  Set<String> neverRan() {
    return neverRan.keySet();
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join(TimeUnit.SECONDS.toMillis(JOIN_SECONDS));
    }
  }
}
