package org.fallturn.rehearsal.quickstart;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.rehearsal.fleet.CallResult;
import org.fallturn.rehearsal.fleet.FleetCaller;
import org.fallturn.rehearsal.fleet.FleetConfiguration;

/** A fixed number of calls of both kinds, drawn by a seed, a bounded number at a time. */
final class BoundedLoad {

  private static final int AT_ONCE = 16;
  private static final int SHARED_PREFIXES = 5;
  private static final int MAX_PROMPT_WORDS = 400;
  private static final int MAX_ANSWER_TOKENS = 60;
  private static final long PATIENCE_MINUTES = 5;

  private final FleetCaller caller;
  private final List<NetworkAddress> nodes;
  private final Random random;

  BoundedLoad(FleetCaller caller, List<NetworkAddress> nodes, long seed) {
    this.caller = caller;
    this.nodes = nodes;
    this.random = new Random(seed);
  }

  /** Plays so many completions and actions; waits for all of them. */
  void play(int completions, int actions, LoadReport completed, LoadReport acted)
      throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(AT_ONCE);
    for (int index = 0; index < completions; index++) {
      NetworkAddress node = nodes.get(index % nodes.size());
      String prompt = prompt(index);
      int tokens = 1 + random.nextInt(MAX_ANSWER_TOKENS);
      threads.execute(() -> completed.add(caller.complete(node, prompt, tokens)));
    }
    for (int index = 0; index < actions; index++) {
      NetworkAddress node = nodes.get(index % nodes.size());
      String key = "slot-" + index;
      boolean once = index % 2 == 0;
      threads.execute(() -> acted.add(act(node, key, once)));
    }
    threads.shutdown();
    if (!threads.awaitTermination(PATIENCE_MINUTES, TimeUnit.MINUTES)) {
      threads.shutdownNow();
    }
  }

  private CallResult act(NetworkAddress node, String key, boolean once) {
    return once
        ? caller.act(node, FleetConfiguration.ONCE_SERVICE, key, "confirm-" + key)
        : caller.act(node, FleetConfiguration.REPEATABLE_SERVICE, key, "");
  }

  private String prompt(int index) {
    StringBuilder prompt = new StringBuilder();
    prompt.append("Household ").append(index % SHARED_PREFIXES).append(" orders:");
    int words = 1 + random.nextInt(MAX_PROMPT_WORDS);
    for (int word = 0; word < words; word++) {
      prompt.append(" item").append(word % 50);
    }
    return prompt.append(" request ").append(index).toString();
  }
}
