package org.fallturn.rehearsal.experiment;

import java.util.NavigableMap;
import java.util.TreeMap;
import org.fallturn.rehearsal.engine.EngineCostModel;
import org.fallturn.rehearsal.engine.EngineCosts;
import org.fallturn.rehearsal.workload.ArrivalGenerator;
import org.fallturn.rehearsal.workload.Deployment;
import org.fallturn.rehearsal.workload.MixFeedback;
import org.fallturn.rehearsal.workload.TimedRequest;

/**
 * Plans role changes by dynamic programming over the requests that will come, taken as a fluid. Its
 * plans are where the oracle's search on the simulator starts. Not thread-safe.
 */
final class FluidPlanner {
  private static final double SLOT_SECONDS = 5;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int SMOOTHED_SLOTS = 2;
  private static final int BATCH = 60;

  private final Deployment deployment;
  private final int engines;
  private final double[] requests;
  private final double[] prefillNeed;
  private final double[] decodeNeed;

  FluidPlanner(RoleCase roleCase) {
    deployment = roleCase.workload().deployment();
    engines = deployment.engines() / deployment.models().size();
    int slots = (int) Math.ceil(roleCase.workload().durationSeconds() / SLOT_SECONDS);
    double[] prompt = new double[slots];
    double[] output = new double[slots];
    double[] context = new double[slots];
    requests = new double[slots];
    ArrivalGenerator arrivals =
        new ArrivalGenerator(
            roleCase.workload(), roleCase.shift(), roleCase.seed(), MixFeedback.NONE);
    while (arrivals.hasNext()) {
      TimedRequest request = arrivals.next();
      int slot = (int) (request.arrivalNanos() / NANOS_PER_SECOND / SLOT_SECONDS);
      requests[slot]++;
      prompt[slot] += request.promptTokens() - request.sharedTokens();
      output[slot] += request.outputTokens();
      context[slot] += (double) request.outputTokens() * request.promptTokens();
    }
    EngineCostModel costs = new EngineCostModel(EngineCosts.DEFAULT);
    prefillNeed = new double[slots];
    decodeNeed = new double[slots];
    for (int slot = 0; slot < slots; slot++) {
      long meanContext = output[slot] > 0 ? (long) (context[slot] / output[slot]) : 0;
      double decodeRate = costs.decodeTokensPerSecond(BATCH, meanContext);
      prefillNeed[slot] = prompt[slot] / SLOT_SECONDS / costs.prefillTokensPerSecond();
      decodeNeed[slot] = output[slot] / SLOT_SECONDS / decodeRate;
    }
  }

  /**
   * The plan that serves most requests, each change of an engine costing this many requests.
   *
   * @return from each time on, how many engines shall prefill
   */
  NavigableMap<Long, Integer> plan(double changePrice) {
    int slots = requests.length;
    int least = deployment.minPrefill();
    int most = engines - deployment.minDecode();
    double[] worth = new double[engines + 1];
    int[][] next = new int[slots][engines + 1];
    for (int slot = slots - 1; slot >= 0; slot--) {
      double[] worthHere = new double[engines + 1];
      for (int present = least; present <= most; present++) {
        worthHere[present] = Double.NEGATIVE_INFINITY;
        for (int target = least; target <= most; target++) {
          double value =
              served(slot, present, target)
                  - changePrice * Math.abs(target - present)
                  + worth[target];
          if (value > worthHere[present]) {
            worthHere[present] = value;
            next[slot][present] = target;
          }
        }
      }
      worth = worthHere;
    }
    return follow(next);
  }

  private NavigableMap<Long, Integer> follow(int[][] next) {
    NavigableMap<Long, Integer> plan = new TreeMap<>();
    int present = engines / 2;
    for (int slot = 0; slot < next.length; slot++) {
      int target = next[slot][present];
      if (target != present) {
        plan.put((long) (slot * SLOT_SECONDS * NANOS_PER_SECOND), target);
        present = target;
      }
    }
    return plan;
  }

  /** A slot in which roles change has only the engines that keep theirs. */
  private double served(int slot, int present, int target) {
    double prefill = Math.min(present, target);
    double decode = engines - Math.max(present, target);
    double served = 1;
    served = Math.min(served, prefill / Math.max(prefill, smoothed(prefillNeed, slot)));
    served = Math.min(served, decode / Math.max(decode, smoothed(decodeNeed, slot)));
    return served * requests[slot];
  }

  /** Waiting requests carry a slot's need over to its neighbours. */
  private static double smoothed(double[] needs, int slot) {
    double sum = 0;
    int count = 0;
    for (int near = slot - SMOOTHED_SLOTS; near <= slot + SMOOTHED_SLOTS; near++) {
      if (near >= 0 && near < needs.length) {
        sum += needs[near];
        count++;
      }
    }
    return Math.max(Double.MIN_NORMAL, sum / count);
  }
}
