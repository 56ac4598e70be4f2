package org.fallturn.core.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One of 78 tenants sends ten times its share to an engine that reads one prompt after the other,
 * and all together ask more than it reads. In the order of arrival most prompts of the 77 others
 * came late with it.
 */
class TenantSharesTest {

  private static final int TENANTS = 78;
  private static final String FLOODING = "t-0";
  private static final double READ_MILLIS = 20;
  private static final long AIM_MILLIS = 600;
  private static final long TIMEOUT_MILLIS = 3_000;
  private static final int END_MILLIS = 40_000;
  private static final int FLOOD_FROM_MILLIS = 10_000;

  /** Of what the engine can read, what the tenants ask together without the flood. */
  private static final double LOAD = 0.9;

  /** So many times what it asks else: somewhat over ten times its share of what can be read. */
  private static final double FLOOD = 12;

  private record Prompt(String tenant, long cameMillis) {}

  /** An engine and the node before it; who is above its share goes behind the others. */
  private static final class Play {
    private final TenantShares shares = new TenantShares(tenant -> 1);
    private final Deque<Prompt> first = new ArrayDeque<>();
    private final Deque<Prompt> behind = new ArrayDeque<>();
    private final boolean fair;
    private final Random random;
    private int asked;
    private int inTime;
    private int floodRead;
    private double freeMillis;

    Play(boolean fair, long seed) {
      this.fair = fair;
      this.random = new Random(seed);
    }

    /** The share of the others' prompts that is read in time. */
    double othersInTime(double flood) {
      double perMilli = LOAD / READ_MILLIS / TENANTS;
      for (int millis = 0; millis < END_MILLIS; millis++) {
        for (int tenant = 0; tenant < TENANTS; tenant++) {
          boolean floods = tenant == 0 && millis > FLOOD_FROM_MILLIS;
          if (random.nextDouble() < perMilli * (floods ? flood : 1)) {
            arrive(new Prompt("t-" + tenant, millis));
          }
        }
        while (freeMillis <= millis && !(first.isEmpty() && behind.isEmpty())) {
          read(next(millis), millis);
        }
      }
      return (double) inTime / asked;
    }

    private void arrive(Prompt prompt) {
      long now = TimeUnit.MILLISECONDS.toNanos(prompt.cameMillis);
      shares.onAsked(prompt.tenant, READ_MILLIS, now);
      asked += prompt.tenant.equals(FLOODING) ? 0 : 1;
      (above(prompt, now) ? behind : first).addLast(prompt);
    }

    private boolean above(Prompt prompt, long now) {
      return fair && shares.aboveShare(prompt.tenant, now);
    }

    /** What was within its share when it came may be above it when there is room. */
    private Prompt next(long millis) {
      long now = TimeUnit.MILLISECONDS.toNanos(millis);
      for (Prompt prompt : first) {
        if (!above(prompt, now)) {
          first.remove(prompt);
          return prompt;
        }
      }
      return first.isEmpty() ? behind.removeFirst() : first.removeFirst();
    }

    private void read(Prompt prompt, long millis) {
      if (millis - prompt.cameMillis > TIMEOUT_MILLIS) {
        return;
      }
      freeMillis = Math.max(freeMillis, millis) + READ_MILLIS;
      shares.onSent(prompt.tenant, READ_MILLIS, TimeUnit.MILLISECONDS.toNanos(millis));
      if (prompt.tenant.equals(FLOODING)) {
        floodRead++;
      } else if (freeMillis - prompt.cameMillis <= AIM_MILLIS) {
        inTime++;
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void othersAreInTimeAsWithoutTheFlood(long seed) {
    double calm = new Play(true, seed).othersInTime(1);
    double flooded = new Play(true, seed).othersInTime(FLOOD);
    assertThat(calm - flooded).isLessThan(0.03);
  }

  @Test
  void inOrderOfArrivalTheyAreNot() {
    double calm = new Play(false, 1).othersInTime(1);
    assertThat(calm - new Play(false, 1).othersInTime(FLOOD)).isGreaterThan(0.3);
  }

  @Test
  void roomThatTheOthersLeaveIsUsedByTheFlood() {
    Play play = new Play(true, 1);
    play.othersInTime(FLOOD);
    double room = (1 - LOAD) * (END_MILLIS - FLOOD_FROM_MILLIS) / READ_MILLIS;
    assertThat(play.floodRead).isGreaterThan((int) (0.9 * room));
  }

  @Test
  void nobodyIsAboveItsShareWhileAllThatIsAskedIsSent() {
    TenantShares shares = new TenantShares(tenant -> 1);
    shares.onAsked("a", 5_000, 0);
    shares.onSent("a", 5_000, 0);
    shares.onAsked("b", 1, 0);
    shares.onSent("b", 1, 0);
    assertThat(shares.aboveShare("a", 0)).isFalse();
  }

  @Test
  void sharesGoByWeight() {
    TenantShares shares = new TenantShares(tenant -> tenant.equals("a") ? 3 : 1);
    for (String tenant : new String[] {"a", "b"}) {
      shares.onAsked(tenant, 1_000, 0);
      shares.onSent(tenant, 400, 0);
    }
    assertThat(shares.aboveShare("a", 0)).isFalse();
    assertThat(shares.aboveShare("b", 0)).isTrue();
  }

  @Test
  void whatWasSentSomeSecondsAgoCountsNoMore() {
    TenantShares shares = new TenantShares(tenant -> 1);
    shares.onAsked("a", 1_000, 0);
    shares.onSent("a", 500, 0);
    shares.onAsked("b", 100, 0);
    assertThat(shares.aboveShare("a", 0)).isTrue();
    assertThat(shares.aboveShare("a", TimeUnit.SECONDS.toNanos(6))).isFalse();
  }
}
