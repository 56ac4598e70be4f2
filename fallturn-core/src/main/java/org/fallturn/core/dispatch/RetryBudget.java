package org.fallturn.core.dispatch;

import java.util.Arrays;

/**
 * Bounds what this node sends again to one service within a sliding window: a ratio of the requests
 * it received for that service, and its share of a fixed slack. The sum over nodes then keeps the
 * fleet's bound without any message: each node's ratio is of its own requests, and the slack is
 * divided by the number of nodes. Forgetting on restart gives away at most that share once more.
 * One thread calls.
 */
final class RetryBudget {

  private static final int BUCKETS = 20;

  /** Part of the fleet's bound that is used, so that restarts and late arrivals stay within. */
  private static final double CAUTION = 0.8;

  private double ratio;
  private double slack;
  private final long bucketNanos;
  private final int[] requests = new int[BUCKETS + 1];
  private final int[] repeats = new int[BUCKETS + 1];
  private long newestBucket;

  RetryBudget(DispatchParameters parameters) {
    setBounds(parameters);
    this.bucketNanos = parameters.retryWindow().toNanos() / BUCKETS;
  }

  /** Takes changed bounds; the window stays. */
  void setBounds(DispatchParameters parameters) {
    ratio = parameters.retryRatio();
    slack = parameters.retrySlack();
  }

  void onRequest(long nowNanos) {
    requests[place(nowNanos)]++;
  }

  /** Takes one repeat when the bound allows it. */
  boolean tryTake(int nodes, long nowNanos) {
    int place = place(nowNanos);
    double allowed = CAUTION * (ratio * sum(requests) + slack / Math.max(1, nodes));
    if (sum(repeats) + 1 > allowed) {
      return false;
    }
    repeats[place]++;
    return true;
  }

  private static int sum(int[] counts) {
    return Arrays.stream(counts).sum();
  }

  /** Clears the buckets that have passed since the last call. */
  private int place(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    long passed = Math.min(bucket - newestBucket, BUCKETS + 1L);
    for (long step = 0; step < passed; step++) {
      int place = Math.floorMod(bucket - step, BUCKETS + 1);
      requests[place] = 0;
      repeats[place] = 0;
    }
    newestBucket = Math.max(newestBucket, bucket);
    return Math.floorMod(newestBucket, BUCKETS + 1);
  }
}
