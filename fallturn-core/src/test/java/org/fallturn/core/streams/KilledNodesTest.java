package org.fallturn.core.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against a stream that goes on at another software version than the one that began it. The
 * engines of the old version have lost their directory entries and serve on, all or most nodes end
 * at once, and those that come back take the version that they see for the only one there was.
 */
class KilledNodesTest {

  private static final String SERVICE = ResumableService.NAME;
  private static final List<String> SERVICES = List.of(SERVICE);
  private static final long STEP = Duration.ofMillis(20).toNanos();
  private static final int NODES = 5;
  private static final int LIFETIME_STEPS = 500;

  /** How long after its entry has gone an engine is used. */
  private static final int LAST_RESORT_STEPS = 100;

  /** The longest that a node follows no directory, and another one that it may be behind. */
  private static final int CUT_STEPS = 400;

  private static final int MAX_LAG_STEPS = 10;

  /** Mean number of steps between two nodes that fall out of step, and for how long they do. */
  private static final int HOLD_INTERVAL = 100;

  private static final int MAX_HOLD_STEPS = 120;

  /** How long a request waits for the store to confirm the directory. */
  private static final int CONFIRMATION_STEPS = 6;

  /**
   * What happens to the nodes.
   *
   * @param steps for how many steps
   * @param interval mean number of steps between two events of one kind
   * @param maxResumeSteps how long it takes at most until a caller comes back
   * @param cutsNodes whether nodes see no changes for a time, and know that
   * @param holdsNodes whether nodes get neither changes nor reports for a time, and do not know it
   */
  private record Disturbances(
      int steps, int interval, int maxResumeSteps, boolean cutsNodes, boolean holdsNodes) {}

  @Property(tries = 30, seed = "95")
  void streamIsContinuedAtItsOwnVersionThoughEnginesServeOnWithoutAnEntry(@ForAll Random random) {
    assertContinuedAtOwnVersion(
        new Fleet(random, new Disturbances(6_000, 1_000, LIFETIME_STEPS, false, false)));
  }

  @Property(tries = 30, seed = "95")
  void streamIsContinuedAtItsOwnVersionThoughSomeNodesSeeNoChanges(@ForAll Random random) {
    assertContinuedAtOwnVersion(
        new Fleet(random, new Disturbances(6_000, 1_000, LIFETIME_STEPS, true, false)));
  }

  @Property(tries = 10, seed = "95")
  void streamIsContinuedAtItsOwnVersionThoughANodeIsOutOfStepUnnoticed(@ForAll Random random) {
    assertContinuedAtOwnVersion(new Fleet(random, new Disturbances(20_000, 5_000, 50, true, true)));
  }

  private static void assertContinuedAtOwnVersion(Fleet fleet) {
    fleet.run();
    assertThat(fleet.wrong).isEmpty();
    assertThat(fleet.continued).as("of %d", fleet.asked).isGreaterThan(fleet.asked / 3);
  }

  /** The engines' versions as the store lists them after a number of changes. */
  private record Listing(int changes, List<String> versions) {}

  /** A node, from a start to its end; {@code listed} is the directory as it knows it. */
  private static final class Node implements DirectoryContact {

    private final StreamTracker tracker = new StreamTracker();
    private final Map<String, Long> leftAt = new TreeMap<>();
    private List<String> listed = List.of();
    private int changes = -1;
    private boolean inContact = true;
    private long lostAtStep;
    private long heldUntilStep;

    Node(Listing listing, long step) {
      tracker.setRouting(ResumableService.routing());
      tracker.setContact(this);
      onDirectory(listing, step);
    }

    @Override
    public long ageNanos(long nowNanos) {
      return inContact && heldUntilStep * STEP <= nowNanos ? 0 : nowNanos - lostAtStep * STEP;
    }

    @Override
    public long maxGapNanos() {
      return MAX_HOLD_STEPS * STEP;
    }

    boolean readsStore(long step) {
      return inContact && heldUntilStep <= step;
    }

    private void onDirectory(Listing listing, long step) {
      if (listing.changes() < changes) {
        return;
      }
      changes = listing.changes();
      List<String> now = listing.versions();
      listed.forEach(version -> leftAt.putIfAbsent(version, step));
      now.forEach(leftAt::remove);
      listed = now;
      tracker.onDirectory(ResumableService.directory(now), step * STEP);
    }

    /** The versions at whose engines it may begin a stream. */
    List<String> usable(long step) {
      List<String> usable = new ArrayList<>(listed);
      leftAt.forEach(
          (version, left) -> {
            if (step - left < LAST_RESORT_STEPS) {
              usable.add(version);
            }
          });
      return usable;
    }
  }

  /** Nodes that begin and continue streams and report to each other. */
  private static final class Fleet {

    private final Random random;
    private final Disturbances disturbances;
    private final Node[] nodes = new Node[NODES];
    private final PriorityQueue<Due> due =
        new PriorityQueue<>((left, right) -> Long.compare(left.step, right.step));
    private Listing listed = new Listing(0, List.of("v0"));
    private final List<String> wrong = new ArrayList<>();
    private long step;
    private int newest;
    private long streams;
    private int asked;
    private int continued;

    private record Due(long step, Runnable action) {}

    Fleet(Random random, Disturbances disturbances) {
      this.random = random;
      this.disturbances = disturbances;
      for (int node = 0; node < NODES; node++) {
        start(node);
      }
    }

    void run() {
      while (step < disturbances.steps()) {
        step++;
        Arrays.stream(nodes).filter(Objects::nonNull).forEach(n -> n.tracker.onTick(step * STEP));
        while (!due.isEmpty() && due.peek().step <= step) {
          due.poll().action.run();
        }
        disturb();
        if (disturbances.holdsNodes()) {
          holdSome();
        }
        begin(random.nextInt(NODES));
        report(random.nextInt(NODES));
      }
    }

    private void in(int steps, Runnable action) {
      due.add(new Due(step + steps, action));
    }

    private void disturb() {
      switch (random.nextInt(disturbances.interval())) {
        case 0, 1, 2, 3 -> changeVersions();
        case 4, 5 -> killAll();
        case 6, 7 -> kill(random.nextInt(NODES));
        case 8, 9 -> cut(random.nextInt(NODES));
        default -> {}
      }
    }

    private void start(int node) {
      nodes[node] = new Node(listed, step);
    }

    private void kill(int node) {
      if (nodes[node] != null) {
        nodes[node] = null;
        in(50 + random.nextInt(100), () -> start(node));
      }
    }

    /** At times one survives. */
    private void killAll() {
      int survivor = random.nextBoolean() ? random.nextInt(NODES) : NODES;
      for (int node = 0; node < NODES; node++) {
        if (node != survivor) {
          kill(node);
        }
      }
    }

    /** The node sees no changes for a time, and knows that. */
    private void cut(int node) {
      Node cut = nodes[node];
      if (disturbances.cutsNodes() && cut != null && cut.inContact) {
        cut.inContact = false;
        cut.lostAtStep = step;
        in(
            CUT_STEPS,
            () -> {
              cut.onDirectory(listed, step);
              cut.inContact = true;
            });
      }
    }

    /** The node gets nothing for a time, and does not know that. */
    private void holdSome() {
      Node held = nodes[random.nextInt(NODES)];
      if (held != null && held.heldUntilStep < step && random.nextInt(HOLD_INTERVAL) == 0) {
        int steps = random.nextInt(MAX_HOLD_STEPS);
        held.heldUntilStep = step + steps;
        held.lostAtStep = held.inContact ? step : held.lostAtStep;
        in(steps, () -> held.onDirectory(listed, step));
      }
    }

    /** Two versions at most are listed at a time. */
    private void changeVersions() {
      List<String> before = listed.versions();
      List<String> after =
          before.size() > 1
              ? List.of(before.get(random.nextInt(2)))
              : List.of(before.get(0), "v" + ++newest);
      listed = new Listing(listed.changes() + 1, after);
      for (Node node : nodes) {
        in(
            random.nextInt(MAX_LAG_STEPS),
            () -> {
              if (node != null && node.readsStore(step)) {
                node.onDirectory(listed, step);
              }
            });
      }
    }

    private void begin(int index) {
      Node node = nodes[index];
      if (node != null) {
        List<String> usable = node.usable(step);
        String version = usable.get(random.nextInt(usable.size()));
        StreamOrigin stream = new StreamOrigin(++streams, SERVICE, version);
        node.tracker.onBegan(stream, step * STEP);
        report(index);
        continueLater(stream, step + LIFETIME_STEPS);
      }
    }

    private void continueLater(StreamOrigin stream, long end) {
      in(10 + random.nextInt(disturbances.maxResumeSteps()), () -> resume(stream, end));
    }

    private void resume(StreamOrigin stream, long end) {
      Node node = nodes[random.nextInt(NODES)];
      if (node == null || step > end) {
        return;
      }
      asked++;
      long arrived = step * STEP;
      Optional<Long> key = Optional.of(stream.key());
      if (node.tracker.lacksConfirmation(key, SERVICES, arrived, arrived)) {
        confirm(node, arrived);
        in(CONFIRMATION_STEPS, () -> goOn(node, stream, end, arrived));
      } else {
        goOn(node, stream, end, arrived);
      }
    }

    /** The store answers some steps after the reading began, with what it lists in between. */
    private void confirm(Node node, long begun) {
      in(
          random.nextInt(CONFIRMATION_STEPS / 2),
          () -> {
            Listing read = listed;
            boolean reached = node.readsStore(step);
            in(
                random.nextInt(CONFIRMATION_STEPS / 2),
                () -> {
                  if (reached && node.readsStore(step)) {
                    node.onDirectory(read, step);
                    node.tracker.onDirectoryConfirmed(begun);
                  }
                });
          });
    }

    private void goOn(Node node, StreamOrigin stream, long end, long arrived) {
      Optional<StreamOrigin> origin =
          node.tracker
              .find(Optional.of(stream.key()), SERVICES, arrived, step * STEP)
              .map(KnownOrigin::origin);
      if (origin.filter(known -> !known.equals(stream)).isPresent()) {
        wrong.add(step + ": " + stream + " taken for " + origin.get());
      } else if (origin.isPresent()) {
        continued++;
        node.tracker.onBegan(stream, step * STEP);
        continueLater(stream, end);
      }
    }

    /** Reports arrive late and out of order, at whichever process is there by then. */
    private void report(int index) {
      Node sender = nodes[index];
      if (sender == null) {
        return;
      }
      long now = step * STEP;
      StreamReport report =
          new StreamReport(
              sender.tracker.reportedVersions(now), sender.tracker.takeUnreported(now));
      for (int other = 0; other < NODES; other++) {
        int target = other;
        if (other != index) {
          in(1 + random.nextInt(MAX_LAG_STEPS), () -> receive(target, report));
        }
      }
    }

    private void receive(int target, StreamReport report) {
      if (nodes[target] != null && nodes[target].heldUntilStep <= step) {
        nodes[target].tracker.onPeerReport(report, step * STEP);
      }
    }
  }
}
