package org.fallturn.core.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fallturn.core.routing.EngineDirectory;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a guess at the version that began a stream. A node that has just started, that is
 * cut off, or that missed a report takes the version that it sees for the only one there was.
 */
class StreamTrackerTest {

  private static final String SERVICE = ResumableService.NAME;
  private static final List<String> SERVICES = List.of(SERVICE);
  private static final long LIFETIME = Duration.ofSeconds(10).toNanos();
  private static final StreamOrigin OLD_STREAM =
      new StreamOrigin(StreamOrigin.key("", "r-1"), SERVICE, "v1");

  private final StreamTracker tracker = new StreamTracker();
  private final TestContact contact = new TestContact();

  @BeforeEach
  void configure() {
    tracker.setRouting(ResumableService.routing());
    tracker.setContact(contact);
  }

  /** Contact that is unbroken until a test breaks it. */
  private static final class TestContact implements DirectoryContact {

    private static final long MAX_GAP = Duration.ofSeconds(2).toNanos();

    private Optional<Long> brokenSince = Optional.empty();

    @Override
    public long ageNanos(long nowNanos) {
      return brokenSince.map(since -> nowNanos - since).orElse(0L);
    }

    @Override
    public long maxGapNanos() {
      return MAX_GAP;
    }
  }

  private static EngineDirectory directory(String... versions) {
    return ResumableService.directory(List.of(versions));
  }

  /** Where a request continues the stream that comes now, and the store confirms the directory. */
  private Optional<String> find(StreamOrigin stream, long nowNanos) {
    tracker.onTick(nowNanos);
    tracker.onDirectoryConfirmed(nowNanos);
    return findArrived(nowNanos, stream, nowNanos);
  }

  private Optional<String> findArrived(long arrivedNanos, StreamOrigin stream, long nowNanos) {
    return tracker
        .find(Optional.of(stream.key()), SERVICES, arrivedNanos, nowNanos)
        .map(KnownOrigin::origin)
        .map(StreamOrigin::softwareVersion);
  }

  private boolean lacksConfirmation(long arrivedNanos, long nowNanos) {
    return tracker.lacksConfirmation(
        Optional.of(OLD_STREAM.key()), SERVICES, arrivedNanos, nowNanos);
  }

  private void tickUntil(long nowNanos) {
    long step = TestContact.MAX_GAP / 2;
    for (long now = 0; now <= nowNanos; now += step) {
      tracker.onTick(now);
    }
  }

  @Test
  void soleVersionIsKnownOnlyOnceItWasWatchedForTheLifeOfAStream() {
    tracker.onDirectory(directory("v1"), 0);
    tickUntil(LIFETIME - 1);
    assertThat(find(OLD_STREAM, LIFETIME - 1)).isEmpty();
    assertThat(find(OLD_STREAM, LIFETIME)).contains("v1");
  }

  @Test
  void newNodeTakesOverWhatAnotherHasWatched() {
    tracker.onDirectory(directory("v2"), 0);
    Map<String, Integer> seen = Map.of("v2", 0, "v1", 4_000);
    tracker.onPeerReport(new StreamReport(Map.of(SERVICE, seen), List.of()), 0);
    assertThat(find(OLD_STREAM, 1)).isEmpty();
    tickUntil(LIFETIME - Duration.ofSeconds(3).toNanos());
    assertThat(find(OLD_STREAM, LIFETIME - Duration.ofSeconds(3).toNanos())).contains("v2");
  }

  @Test
  void versionThatHasLeftStillCountsForTheLifeOfItsStreams() {
    tracker.onDirectory(directory("v1"), 0);
    tracker.onDirectory(directory("v2"), LIFETIME);
    tickUntil(2 * LIFETIME);
    assertThat(find(OLD_STREAM, 2 * LIFETIME)).isEmpty();
    assertThat(find(OLD_STREAM, 2 * LIFETIME + 1)).contains("v2");
  }

  @Test
  void nothingIsCertainWhileTheDirectoryMayBeOutOfDate() {
    tracker.onDirectory(directory("v1"), 0);
    contact.brokenSince = Optional.of(0L);
    assertThat(find(OLD_STREAM, LIFETIME)).isEmpty();
    contact.brokenSince = Optional.empty();
    assertThat(find(OLD_STREAM, LIFETIME + 1)).isEmpty();
    tickUntil(2 * LIFETIME);
    assertThat(find(OLD_STREAM, 2 * LIFETIME)).isEmpty();
    assertThat(find(OLD_STREAM, 2 * LIFETIME + 1)).contains("v1");
  }

  /** Guards against what a node took for certain that was out of step and did not notice. */
  @Test
  void soleVersionIsConcludedOnlyFromAReadingThatBeganAfterTheRequestCame() {
    tracker.onDirectory(directory("v1"), 0);
    tickUntil(LIFETIME);
    tracker.onDirectoryConfirmed(LIFETIME);
    assertThat(findArrived(LIFETIME + 1, OLD_STREAM, LIFETIME + 2)).isEmpty();
    assertThat(lacksConfirmation(LIFETIME + 1, LIFETIME + 2)).isTrue();
    tracker.onDirectoryConfirmed(LIFETIME + 1);
    assertThat(lacksConfirmation(LIFETIME + 1, LIFETIME + 2)).isFalse();
    assertThat(findArrived(LIFETIME + 1, OLD_STREAM, LIFETIME + 2)).contains("v1");
  }

  @Test
  void noConfirmationIsLackedWhereItWouldNotTellTheVersion() {
    tracker.onDirectory(directory("v1", "v2"), 0);
    tickUntil(LIFETIME);
    assertThat(lacksConfirmation(LIFETIME, LIFETIME)).isFalse();
    tracker.onBegan(OLD_STREAM, LIFETIME);
    assertThat(lacksConfirmation(LIFETIME, LIFETIME)).isFalse();
    assertThat(findArrived(LIFETIME, OLD_STREAM, LIFETIME)).contains("v1");
  }

  @Test
  void nothingIsCertainOnceAnEntryCameAndWentUnseen() {
    tracker.onDirectory(directory("v1"), 0);
    tickUntil(LIFETIME);
    assertThat(find(OLD_STREAM, LIFETIME)).contains("v1");
    tracker.onMissedEntries(LIFETIME);
    assertThat(find(OLD_STREAM, LIFETIME + 1)).isEmpty();
  }

  /** Guards against a gap that nobody noticed while it lasted, as in a suspended process. */
  @Test
  void nothingIsCertainAfterAGapInContactThatIsOverBeforeAnyCheck() {
    tracker.onDirectory(directory("v1"), 0);
    tickUntil(LIFETIME);
    long after = LIFETIME + TestContact.MAX_GAP + 1;
    assertThat(find(OLD_STREAM, after)).isEmpty();
  }

  @Test
  void noStreamIsReportedWhileThereIsOneVersion() {
    tracker.onDirectory(directory("v1"), 0);
    tracker.onBegan(OLD_STREAM, LIFETIME);
    assertThat(tracker.hasUnreported(LIFETIME)).isFalse();
    assertThat(tracker.takeUnreported(LIFETIME)).isEmpty();
  }

  /** Streams that run when the second version appears have begun at the first. */
  @Test
  void earlierStreamsAreReportedWhenASecondVersionAppears() {
    tracker.onDirectory(directory("v1"), 0);
    tracker.onBegan(OLD_STREAM, LIFETIME);
    tracker.onDirectory(directory("v1", "v2"), LIFETIME + 1);
    assertThat(tracker.hasUnreported(LIFETIME + 1)).isTrue();
    assertThat(tracker.takeUnreported(LIFETIME + 1)).containsExactly(OLD_STREAM);
    assertThat(tracker.hasUnreported(LIFETIME + 1)).isFalse();
  }

  @Test
  void streamOfAnotherTenantOrServiceIsNotFound() {
    tracker.onDirectory(directory("v1", "v2"), 0);
    tracker.onPeerReport(new StreamReport(Map.of(), List.of(OLD_STREAM)), 0);
    assertThat(find(OLD_STREAM, 1)).contains("v1");
    assertThat(tracker.find(Optional.of(OLD_STREAM.key()), List.of("other"), 1, 1)).isEmpty();
    assertThat(find(new StreamOrigin(StreamOrigin.key("bakery", "r-1"), SERVICE, ""), 1)).isEmpty();
  }

  /** Two nodes that repeat to each other what they heard would keep a version for ever. */
  @Test
  void versionThatOnlyOthersListedExpiresHoweverOftenNodesReport() {
    StreamTracker other = new StreamTracker();
    other.setRouting(ResumableService.routing());
    tracker.onDirectory(directory("v2"), 0);
    other.onDirectory(directory("v2"), 0);
    Map<String, Integer> seen = Map.of("v2", 0, "v1", 0);
    tracker.onPeerReport(new StreamReport(Map.of(SERVICE, seen), List.of()), LIFETIME);
    long step = Duration.ofMillis(100).toNanos();
    for (long now = LIFETIME; now <= 2 * LIFETIME; now += step) {
      other.onPeerReport(
          new StreamReport(tracker.reportedVersions(now), List.of()), now + step / 2);
      tracker.onPeerReport(
          new StreamReport(other.reportedVersions(now + step / 2), List.of()), now + step);
    }
    assertThat(find(OLD_STREAM, 2 * LIFETIME + step)).contains("v2");
  }

  /**
   * Nodes restart, directories lag, reports are lost, versions come and go; a stream that is
   * resumed anywhere is found at its own version or not at all.
   */
  @Property(tries = 60)
  void streamIsFoundAtItsOwnVersionOrNotAtAll(@ForAll Random random) {
    SimulatedNodes nodes = new SimulatedNodes(random);
    for (int step = 0; step < 3_000; step++) {
      nodes.step();
    }
    assertThat(nodes.wrong).isZero();
    assertThat(nodes.found).as("of %d", nodes.asked).isGreaterThan(nodes.asked / 2);
  }

  /** Nodes that place streams and report to each other, with steps of 10 ms. */
  private static final class SimulatedNodes {

    private static final int NODES = 5;
    private static final long STEP = Duration.ofMillis(10).toNanos();
    private static final int MAX_LAG_STEPS = 4;
    private static final int FIRST_EVENT_STEPS = 6;
    private static final int LAST_EVENT_STEPS = 60;

    private final Random random;
    private final List<StreamTracker> trackers = new ArrayList<>();
    private final List<String> listed = new ArrayList<>(List.of("v0"));
    private final PriorityQueue<Due> due =
        new PriorityQueue<>((left, right) -> Long.compare(left.step, right.step));
    private long now;
    private int newest;
    private long streams;
    private int asked;
    private int found;
    private int wrong;

    private record Due(long step, Runnable action) {}

    SimulatedNodes(Random random) {
      this.random = random;
      for (int node = 0; node < NODES; node++) {
        trackers.add(null);
        start(node);
      }
    }

    private void start(int node) {
      StreamTracker started = new StreamTracker();
      started.setRouting(ResumableService.routing());
      started.onDirectory(directory(listed.toArray(String[]::new)), now * STEP);
      trackers.set(node, started);
    }

    private void in(int steps, Runnable action) {
      due.add(new Due(now + steps, action));
    }

    void step() {
      now++;
      while (!due.isEmpty() && due.peek().step <= now) {
        due.poll().action.run();
      }
      if (random.nextInt(100) == 0) {
        changeVersions();
      }
      if (random.nextInt(150) == 0) {
        start(random.nextInt(NODES));
      }
      place(random.nextInt(NODES));
      report(random.nextInt(NODES));
    }

    private void changeVersions() {
      if (listed.size() > 1 && random.nextBoolean()) {
        listed.remove(random.nextInt(listed.size()));
      } else if (listed.size() < 3) {
        listed.add("v" + ++newest);
      }
      EngineDirectory after = directory(listed.toArray(String[]::new));
      for (int node = 0; node < NODES; node++) {
        int reached = node;
        StreamTracker tracker = trackers.get(node);
        in(
            random.nextInt(MAX_LAG_STEPS),
            () -> {
              if (trackers.get(reached) == tracker) {
                tracker.onDirectory(after, now * STEP);
              }
            });
      }
    }

    private void place(int node) {
      String version = listed.get(random.nextInt(listed.size()));
      StreamOrigin stream = new StreamOrigin(++streams, SERVICE, version);
      trackers.get(node).onBegan(stream, now * STEP);
      int resumedAfter = FIRST_EVENT_STEPS + random.nextInt(LAST_EVENT_STEPS - FIRST_EVENT_STEPS);
      int elsewhere = random.nextInt(NODES);
      in(resumedAfter, () -> resume(stream, elsewhere));
    }

    private void resume(StreamOrigin stream, int node) {
      long nanos = now * STEP;
      trackers.get(node).onDirectoryConfirmed(nanos);
      Optional<StreamOrigin> origin =
          trackers
              .get(node)
              .find(Optional.of(stream.key()), SERVICES, nanos, nanos)
              .map(KnownOrigin::origin);
      asked++;
      found += origin.isPresent() ? 1 : 0;
      wrong += origin.filter(known -> !known.equals(stream)).isPresent() ? 1 : 0;
    }

    private void report(int node) {
      StreamTracker sender = trackers.get(node);
      StreamReport report =
          new StreamReport(sender.reportedVersions(now * STEP), sender.takeUnreported(now * STEP));
      for (int other = 0; other < NODES; other++) {
        int target = other;
        if (other != node && random.nextInt(20) > 0) {
          in(
              1 + random.nextInt(MAX_LAG_STEPS),
              () -> trackers.get(target).onPeerReport(report, now * STEP));
        }
      }
    }
  }
}
