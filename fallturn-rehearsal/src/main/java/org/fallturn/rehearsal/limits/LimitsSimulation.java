package org.fallturn.rehearsal.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.fallturn.core.admission.QuotaAction;
import org.fallturn.core.admission.QuotaAction.AskHoldings;
import org.fallturn.core.admission.QuotaAction.AskShares;
import org.fallturn.core.admission.QuotaKey;
import org.fallturn.core.admission.QuotaMessages.Holdings;
import org.fallturn.core.admission.QuotaMessages.ShareGrants;
import org.fallturn.core.admission.QuotaNode;
import org.fallturn.core.admission.QuotaParameters;
import org.fallturn.core.admission.QuotaSurroundings;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.TenantName;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.limits.LimitsScenario.Failure;

/**
 * Runs the nodes' own quota classes in simulated time: messages take milliseconds, get lost, and do
 * not pass a partition; nodes notice deaths and partitions late and each at its own time. Equal
 * seeds give equal runs. Not thread-safe.
 */
public final class LimitsSimulation {

  /** The nodes' parameters, as their settings have them by default. */
  public static final QuotaParameters PARAMETERS =
      QuotaParameters.of(Duration.ofSeconds(10), Duration.ofSeconds(1));

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long START_NANOS = 1;
  private static final double MIN_DELAY_SECONDS = 0.0005;
  private static final double MAX_DELAY_SECONDS = 0.005;
  private static final double TIMEOUT_SECONDS = 0.5;
  private static final double MIN_DETECTION_SECONDS = 2;
  private static final double MAX_DETECTION_SECONDS = 8;
  private static final double LIST_LAG_SECONDS = 6;
  private static final double SAMPLE_SECONDS = 0.25;
  private static final double WARM_UP_SECONDS = 5;
  private static final double SETTLED_SECONDS = 15;
  private static final double MAX_WAIT_SECONDS = 0.5;
  private static final int HEADER_BYTES = 160;

  private final LimitsScenario scenario;
  private final SplittableRandom random;
  private final JsonCodec codec = new JsonCodec();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<SimulatedNode> nodes = new ArrayList<>();
  private final Map<Integer, AdmittedWindow> windows = new HashMap<>();
  private final Set<Integer> unlisted = new HashSet<>();
  private long eventNumber;
  private double now;
  private int partitionedNodes;
  private long offered;
  private long admitted;
  private double allowed;
  private double worstShareSum;
  private long bytes;
  private long refusedLater;
  private long messages;

  private record Event(double atSeconds, long number, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(atSeconds, other.atSeconds);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  LimitsSimulation(LimitsScenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    ConfigurationImage image = image();
    for (int index = 0; index < scenario.nodes(); index++) {
      QuotaNode quota = new QuotaNode(SimulatedNode.id(index), PARAMETERS, START_NANOS);
      quota.setImage(image);
      nodes.add(new SimulatedNode(index, quota));
    }
    nodes.forEach(this::updateSurroundings);
  }

  private ConfigurationImage image() {
    Map<String, TenantRecord> tenants = new HashMap<>();
    for (int index = 0; index < scenario.tenants(); index++) {
      TenantName name = new TenantName("tenant-" + index);
      double limit = scenario.limitPerSecond();
      tenants.put(
          name.value(), new TenantRecord(name, limit, limit * 1000, 1_000_000, 1_000_000, 1));
    }
    ConfigurationImage empty = ConfigurationImage.EMPTY;
    return new ConfigurationImage(
        1,
        tenants,
        empty.apiKeys(),
        empty.services(),
        empty.rules(),
        empty.poolPolicies(),
        empty.drains(),
        empty.operators());
  }

  /** Runs to the end. */
  LimitsOutcome run() {
    nodes.forEach(node -> at(random.nextDouble(), () -> interval(node)));
    for (int tenant = 0; tenant < scenario.tenants(); tenant++) {
      int number = tenant;
      windows.put(number, new AdmittedWindow(shareSeconds()));
      at(WARM_UP_SECONDS + gap(), () -> arrival(number));
    }
    scenario.failures().forEach(failure -> at(failure.atSeconds(), () -> fail(failure)));
    at(SAMPLE_SECONDS, this::sample);
    while (!events.isEmpty() && events.peek().atSeconds() < scenario.seconds()) {
      Event event = events.poll();
      now = event.atSeconds();
      event.action().run();
    }
    return outcome();
  }

  private static double shareSeconds() {
    return PARAMETERS.shareDuration().toNanos() / NANOS_PER_SECOND;
  }

  private LimitsOutcome outcome() {
    double loadSeconds = scenario.seconds() - WARM_UP_SECONDS;
    double limit = scenario.limitPerSecond();
    double burstSeconds = PARAMETERS.burst().toNanos() / NANOS_PER_SECOND;
    double inWindow = limit * (shareSeconds() + burstSeconds) + scenario.nodes();
    double worst = 0;
    for (AdmittedWindow window : windows.values()) {
      worst = Math.max(worst, window.most() / inWindow);
    }
    allowed = limit * loadSeconds * scenario.tenants();
    double nodeSeconds = scenario.nodes() * loadSeconds;
    return new LimitsOutcome(
        offered,
        admitted,
        refusedLater,
        worstShareSum,
        worst,
        admitted / Math.min(offered, allowed),
        2 * bytes / nodeSeconds,
        2 * messages / nodeSeconds);
  }

  private void at(double seconds, Runnable action) {
    events.add(new Event(seconds, eventNumber++, action));
  }

  private long nanos() {
    return START_NANOS + (long) (now * NANOS_PER_SECOND);
  }

  private double gap() {
    double rate = scenario.limitPerSecond() * scenario.demandFactor();
    return -Math.log(1 - random.nextDouble()) / rate;
  }

  private void interval(SimulatedNode node) {
    if (!node.dead) {
      node.quota.onInterval(nanos()).forEach(action -> perform(node, action));
      double next = PARAMETERS.shareInterval().toNanos() / NANOS_PER_SECOND;
      at(now + next, () -> interval(node));
    }
  }

  private void arrival(int tenant) {
    at(now + gap(), () -> arrival(tenant));
    int phase = (int) (now / scenario.moveSeconds());
    int entry = (tenant * 31 + phase * 17 + random.nextInt(scenario.hotNodes()));
    SimulatedNode node = nodes.get(entry % nodes.size());
    if (node.dead) {
      return;
    }
    offered++;
    request(tenant, node, now + MAX_WAIT_SECONDS, true);
  }

  private void request(int tenant, SimulatedNode node, double until, boolean firstTry) {
    List<QuotaKey> keys = List.of(key(tenant));
    var refusal = node.quota.admit(keys, 1, firstTry, nanos());
    if (refusal.isEmpty()) {
      admitted++;
      windows.get(tenant).admitted(now);
      node.quota.placed(keys);
      node.quota.finished(keys, 0);
      return;
    }
    node.quota.askNow(keys, nanos()).forEach(action -> perform(node, action));
    if (refusal.get().isFinal() || now >= until || node.dead) {
      refusedLater += now > SETTLED_SECONDS ? 1 : 0;
    } else {
      at(now + 0.01, () -> request(tenant, node, until, false));
    }
  }

  private static QuotaKey key(int tenant) {
    return new QuotaKey("tenant-" + tenant);
  }

  private void perform(SimulatedNode from, QuotaAction action) {
    SimulatedNode to = node(action.to());
    if (action instanceof AskShares ask) {
      boolean local = to == from;
      at(now + TIMEOUT_SECONDS, () -> from.quota.onNoGrants(ask));
      deliver(
          from,
          to,
          ask.message(),
          () -> {
            ShareGrants answer = to.quota.onShareRequests(ask.message(), nanos());
            deliver(to, from, answer, () -> from.quota.onGrants(ask, answer, nanos()), local);
          },
          local);
    } else if (action instanceof AskHoldings ask) {
      deliver(
          from,
          to,
          ask.message(),
          () -> {
            Holdings answer = to.quota.onHoldingsRequest(ask.message(), nanos());
            deliver(to, from, answer, () -> from.quota.onHoldings(ask, answer, nanos()), false);
          },
          false);
    }
  }

  private SimulatedNode node(NodeId id) {
    return nodes.get(Integer.parseInt(id.value().substring("node-".length())));
  }

  private void deliver(
      SimulatedNode from, SimulatedNode to, Object message, Runnable action, boolean local) {
    if (local) {
      action.run();
      return;
    }
    if (now > WARM_UP_SECONDS) {
      bytes += codec.encode(message).length + HEADER_BYTES;
      messages++;
    }
    boolean lost = scenario.lossOneIn() > 0 && random.nextInt(scenario.lossOneIn()) == 0;
    double delay =
        MIN_DELAY_SECONDS + random.nextDouble() * (MAX_DELAY_SECONDS - MIN_DELAY_SECONDS);
    if (!lost) {
      at(
          now + delay,
          () -> {
            if (!to.dead && connected(from, to)) {
              action.run();
            }
          });
    }
  }

  private boolean connected(SimulatedNode left, SimulatedNode right) {
    return left.index < partitionedNodes == right.index < partitionedNodes;
  }

  private void fail(Failure failure) {
    if (failure instanceof Failure.Death death) {
      nodes.get(death.node()).dead = true;
      at(now + LIST_LAG_SECONDS, () -> unlist(death.node()));
    } else if (failure instanceof Failure.Partition partition) {
      partitionedNodes = partition.firstNodes();
    }
    for (SimulatedNode node : nodes) {
      double noticed =
          now
              + MIN_DETECTION_SECONDS
              + random.nextDouble() * (MAX_DETECTION_SECONDS - MIN_DETECTION_SECONDS);
      at(noticed, () -> updateSurroundings(node));
    }
  }

  private void unlist(int index) {
    unlisted.add(index);
    nodes.forEach(this::updateSurroundings);
  }

  private void updateSurroundings(SimulatedNode node) {
    Set<NodeId> seen = new HashSet<>();
    Set<NodeId> listed = new HashSet<>();
    for (SimulatedNode other : nodes) {
      if (!unlisted.contains(other.index)) {
        listed.add(other.id);
      }
      if (!other.dead && connected(node, other)) {
        seen.add(other.id);
      }
    }
    node.quota.setSurroundings(new QuotaSurroundings(seen, seen, listed));
  }

  private void sample() {
    at(now + SAMPLE_SECONDS, this::sample);
    for (int tenant = 0; tenant < scenario.tenants(); tenant++) {
      double sum = 0;
      for (SimulatedNode node : nodes) {
        if (!node.dead) {
          sum += node.quota.usable(key(tenant), nanos()).requests();
        }
      }
      worstShareSum = Math.max(worstShareSum, sum / scenario.limitPerSecond());
    }
  }
}
