package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
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
    public FeedAnswer changesAfter(long after, Duration wait, BooleanSupplier stillWanted) {
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

  private static RowFollower.Times times(Duration longestWait) {
    return new RowFollower.Times(Duration.ZERO, longestWait);
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
            new ToldChanges(),
            new RowFollower.Times(
                Duration.ofSeconds(1),
                Duration.ofSeconds(5),
                millis -> steps.add("pause of " + millis)))) {
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
            "pause of 500",
            "changes within 5");
  }

  /** What other nodes tell. */
  private static final class ToldChanges implements RowFollower.Others {
    private final AtomicLong newest = new AtomicLong();
    private volatile boolean told;

    @Override
    public long newestChange() {
      return newest.get();
    }

    @Override
    public boolean tell() {
      return told;
    }
  }

  /** A table whose watch went silent, so that only a whole reading shows its change. */
  private final class SilentFeed implements RowFeed {
    private final ToldChanges others;
    private volatile long version = 1;

    SilentFeed(ToldChanges others) {
      this.others = others;
    }

    @Override
    public FeedAnswer snapshot() {
      steps.add("whole " + version);
      if (version == 2) {
        done.countDown();
      }
      return new FeedAnswer(List.of(new FeedRow("a", version, "", false)), version);
    }

    @Override
    public FeedAnswer changesAfter(long after, Duration wait, BooleanSupplier stillWanted) {
      steps.add("watch for " + wait.toSeconds());
      version = 2;
      others.newest.set(2);
      while (stillWanted.getAsBoolean()) {
        Thread.onSpinWait();
      }
      return new FeedAnswer(List.of(), after);
    }
  }

  @Test
  void watchThatMissesAChangeThatOthersSawIsEndedAndTheTableReadWhole() throws Exception {
    ToldChanges others = new ToldChanges();
    others.told = true;
    RowFeed feed = new SilentFeed(others);
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    try (RowFollower follower =
        new RowFollower("t", feed, feed, deaf(), log, others, times(Duration.ofSeconds(5)))) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(List.copyOf(steps).subList(0, 3))
        .containsExactly("whole 1", "watch for 30", "whole 2");
  }

  @Test
  void watchIsTrustedForItsOwnTimeOnlyOnceNobodyTellsOfChanges() throws Exception {
    ToldChanges others = new ToldChanges();
    others.told = true;
    RowFeed feed =
        new RowFeed() {
          @Override
          public FeedAnswer snapshot() {
            steps.add("whole");
            return new FeedAnswer(List.of(), 1);
          }

          @Override
          public FeedAnswer changesAfter(long after, Duration wait, BooleanSupplier stillWanted) {
            steps.add("watch");
            assertThat(stillWanted.getAsBoolean()).isTrue();
            others.told = false;
            while (stillWanted.getAsBoolean()) {
              Thread.onSpinWait();
            }
            done.countDown();
            return new FeedAnswer(List.of(), after);
          }
        };
    DecisionLog log = new DecisionLog(new GatewayMetrics());
    try (RowFollower follower =
        new RowFollower("t", feed, feed, deaf(), log, others, times(Duration.ofMillis(50)))) {
      follower.start();
      assertThat(done.await(20, TimeUnit.SECONDS)).isTrue();
    }
    assertThat(List.copyOf(steps).subList(0, 2)).containsExactly("whole", "watch");
  }
}
