package org.fallturn.core.streams;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
  private static final int STEPS = 6_000;

  /** How long after its entry has gone an engine is used. */
  private static final int LAST_RESORT_STEPS = 100;

  /** The longest that a node follows no directory, and another one that it may be behind. */
  private static final int CUT_STEPS = 400;

  private static final int MAX_LAG_STEPS = 10;

  @Property(tries = 30, seed = "95")
  void streamIsContinuedAtItsOwnVersionThoughEnginesServeOnWithoutAnEntry(@ForAll Random random) {
    assertContinuedAtOwnVersion(new Fleet(random, false));
  }

  @Property(tries = 30, seed = "95")
  void streamIsContinuedAtItsOwnVersionThoughSomeNodesSeeNoChanges(@ForAll Random random) {
    assertContinuedAtOwnVersion(new Fleet(random, true));
  }

  private static void assertContinuedAtOwnVersion(Fleet fleet) {
    fleet.run();
    assertThat(fleet.wrong).isEmpty();
    assertThat(fleet.continued).as("of %d", fleet.asked).isGreaterThan(fleet.asked / 3);
  }

  /** A node, from a start to its end; {@code listed} is the directory as it knows it. */
  private static final class Node {

    private final StreamTracker tracker = new StreamTracker();
    private final Map<String, Long> leftAt = new TreeMap<>();
    private List<String> listed = List.of();
    private boolean inContact = true;

    Node(List<String> listed, long step) {
      tracker.setRouting(ResumableService.routing());
      tracker.setContact(() -> inContact);
      onDirectory(listed, step);
    }

    private void onDirectory(List<String> now, long step) {
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
    private final boolean cutsNodes;
    private final Node[] nodes = new Node[NODES];
    private final PriorityQueue<Due> due =
        new PriorityQueue<>((left, right) -> Long.compare(left.step, right.step));
    private List<String> listed = List.of("v0");
    private final List<String> wrong = new ArrayList<>();
    private long step;
    private int newest;
    private long streams;
    private int asked;
    private int continued;

    private record Due(long step, Runnable action) {}

    Fleet(Random random, boolean cutsNodes) {
      this.random = random;
      this.cutsNodes = cutsNodes;
      for (int node = 0; node < NODES; node++) {
        start(node);
      }
    }

    void run() {
      while (step < STEPS) {
        step++;
        while (!due.isEmpty() && due.peek().step <= step) {
          due.poll().action.run();
        }
        disturb();
        begin(random.nextInt(NODES));
        report(random.nextInt(NODES));
      }
    }

    private void in(int steps, Runnable action) {
      due.add(new Due(step + steps, action));
    }

    private void disturb() {
      switch (random.nextInt(1_000)) {
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
      if (cutsNodes && cut != null && cut.inContact) {
        cut.inContact = false;
        in(
            CUT_STEPS,
            () -> {
              cut.onDirectory(listed, step);
              cut.inContact = true;
            });
      }
    }

    /** Two versions at most are listed at a time. */
    private void changeVersions() {
      if (listed.size() > 1) {
        listed = List.of(listed.get(random.nextInt(2)));
      } else {
        listed = List.of(listed.get(0), "v" + ++newest);
      }
      for (Node node : nodes) {
        in(
            random.nextInt(MAX_LAG_STEPS),
            () -> {
              if (node != null && node.inContact) {
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
      in(10 + random.nextInt(LIFETIME_STEPS), () -> resume(stream, end));
    }

    private void resume(StreamOrigin stream, long end) {
      Node node = nodes[random.nextInt(NODES)];
      if (node == null || step > end) {
        return;
      }
      asked++;
      Optional<StreamOrigin> origin =
          node.tracker.find(Optional.of(stream.key()), SERVICES, step * STEP);
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
      if (nodes[target] != null) {
        nodes[target].tracker.onPeerReport(report, step * STEP);
      }
    }
  }
}
