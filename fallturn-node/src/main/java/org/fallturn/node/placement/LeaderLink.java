package org.fallturn.node.placement;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.placement.PlacementProgress;

/**
 * What the client knows of one leader node: progress to tell it, and whether it is heard. A leader
 * may rightly hold a placement back, so its silence is measured by the batches, which it answers at
 * once. Used by the client's duty thread.
 */
final class LeaderLink {
  private static final int MAX_PROGRESS = 4096;
  private static final int MAX_BATCH = 512;

  final LeaderDirectory.Leader leader;
  private List<PlacementProgress> progress = new ArrayList<>();
  private boolean batchUnderWay;
  private long batchSentNanos;
  private long heardNanos;
  private boolean silent;
  private long dropped;

  LeaderLink(LeaderDirectory.Leader leader, long nowNanos) {
    this.leader = leader;
    this.heardNanos = nowNanos;
    this.batchSentNanos = nowNanos;
  }

  void add(PlacementProgress news) {
    if (progress.size() >= MAX_PROGRESS) {
      dropped++;
      return;
    }
    progress.add(news);
  }

  /** Whether a batch should go now: there is progress, or nothing was heard for a while. */
  boolean isBatchDue(boolean hasPending, long quietNanos, long nowNanos) {
    if (batchUnderWay) {
      return false;
    }
    boolean quiet = nowNanos - Math.max(heardNanos, batchSentNanos) >= quietNanos;
    return silent ? quiet : !progress.isEmpty() || hasPending && quiet;
  }

  /** Takes the progress for the next batch. */
  List<PlacementProgress> takeBatch(long nowNanos) {
    batchUnderWay = true;
    batchSentNanos = nowNanos;
    int size = Math.min(MAX_BATCH, progress.size());
    List<PlacementProgress> batch = List.copyOf(progress.subList(0, size));
    progress = new ArrayList<>(progress.subList(size, progress.size()));
    return batch;
  }

  void heard(long nowNanos) {
    heardNanos = nowNanos;
    silent = false;
  }

  void batchEnded() {
    batchUnderWay = false;
  }

  void failed() {
    silent = true;
  }

  /** Whether a batch failed, or one is unanswered and nothing was heard for the bound. */
  boolean isSilent(long boundNanos, long nowNanos) {
    boolean waits = batchUnderWay && nowNanos - batchSentNanos >= boundNanos / 2;
    return silent || waits && nowNanos - heardNanos >= boundNanos;
  }

  long lastHeardNanos() {
    return heardNanos;
  }

  boolean isIdle() {
    return progress.isEmpty() && !batchUnderWay;
  }

  long dropped() {
    return dropped;
  }
}
