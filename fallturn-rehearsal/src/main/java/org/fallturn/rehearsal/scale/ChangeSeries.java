package org.fallturn.rehearsal.scale;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.fallturn.core.configuration.PlannedChange;
import org.fallturn.core.configuration.ProposedChange;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.TenantName;
import org.fallturn.node.configuration.CommitResult;

/** Commits changes of one tenant's limits at a node, one each interval. */
final class ChangeSeries {

  private static final long COMMIT_SECONDS = 20;

  private ChangeSeries() {}

  static HollowMessages.Committed run(HollowNode node, HollowMessages.Commit commit)
      throws InterruptedException {
    Map<Long, Long> accepted = new TreeMap<>();
    int failed = 0;
    long next = System.nanoTime();
    for (int index = 0; index < commit.changes(); index++) {
      next += TimeUnit.MILLISECONDS.toNanos(commit.intervalMillis());
      try {
        CommitResult result =
            node.parts()
                .configuration()
                .propose(change(index))
                .toCompletableFuture()
                .get(COMMIT_SECONDS, TimeUnit.SECONDS);
        accepted.put(result.version(), System.currentTimeMillis());
      } catch (ExecutionException | TimeoutException e) {
        failed++;
      }
      TimeUnit.NANOSECONDS.sleep(Math.max(0, next - System.nanoTime()));
    }
    return new HollowMessages.Committed(accepted, failed);
  }

  private static ProposedChange change(int index) {
    TenantName tenant = new TenantName("tenant-0");
    TenantRecord record = new TenantRecord(tenant, 1000 + index, 1e6, 1000, 1000, 1);
    return new ProposedChange(
        UUID.randomUUID().toString(),
        "rehearsal",
        "change tenant-0",
        OptionalLong.empty(),
        image -> new PlannedChange(List.of(record), List.of()));
  }
}
