package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.FeedTracker;
import org.fallturn.core.port.feed.RowFeed;
import org.junit.jupiter.api.Test;

class RowFollowerTest {

  private static final int SCRIPT_LENGTH = 4;

  private final List<String> steps = new CopyOnWriteArrayList<>();
  private final CountDownLatch done = new CountDownLatch(1);

  /** A table whose second and third reading bring a change, and which then stays as it is. */
  private final class ScriptedFeed implements RowFeed {

    private int calls;

    @Override
    public FeedAnswer snapshot() {
      steps.add("whole");
      return new FeedAnswer(List.of(new FeedRow("a", 1, "", false)), 1);
    }

    @Override
    public FeedAnswer changesAfter(long after, Duration wait) {
      calls++;
      if (calls > SCRIPT_LENGTH) {
        awaitForever();
      }
      steps.add("changes within " + wait.toSeconds());
      boolean changes = calls == 2 || calls == 3;
      return changes
          ? new FeedAnswer(List.of(new FeedRow("a", calls, "", false)), calls)
          : new FeedAnswer(List.of(), after);
    }

    private void awaitForever() {
      done.countDown();
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static RowFollower.Listener deaf() {
    return new RowFollower.Listener() {
      @Override
      public void onRows(FeedTracker tracker) {}

      @Override
      public void onReachable(boolean reachable) {}
    };
  }

  @Test
  void rowsThatComeInABurstAreReadTogetherAfterAPause() throws Exception {
    RowFeed feed = new ScriptedFeed();
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    try (RowFollower follower =
        new RowFollower(
            "t",
            feed,
            feed,
            deaf(),
            log,
            Duration.ofSeconds(5),
            millis -> steps.add("pause of " + millis))) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(List.copyOf(steps).subList(0, 7))
        .containsExactly(
            "whole",
            "changes within 5",
            "changes within 5",
            "pause of 250",
            "changes within 5",
            "pause of 250",
            "changes within 5");
  }
}
