package org.fallturn.rehearsal.membership;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.membership.Member;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.core.port.machines.MachineList;
import org.fallturn.node.gossip.GossipTraffic;
import org.fallturn.node.json.JsonCodec;

/**
 * Membership of one zone at several sizes over real loopback UDP: bytes, messages and processor
 * time a member at rest, then suspicions at a share of lost datagrams, a leave and a kill.
 */
final class MembershipExperiment {

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PERCENT = 100;
  private static final long CHECK_MILLIS = 20;
  private static final long CONVERGENCE_LIMIT_SECONDS = 180;
  private static final long EVENT_LIMIT_SECONDS = 60;

  private final MembershipPlan plan;
  private final PrintStream out;
  private volatile double lossRate;

  MembershipExperiment(MembershipPlan plan, PrintStream out) {
    this.plan = plan;
    this.out = out;
  }

  List<MembershipSample> run() throws Exception {
    out.println(
        "members converged_s out_B/s out_max_B/s in_B/s msg/s cpu_% suspicions false_dead"
            + " loss_s detect_half_s detect_all_s leaving_all_s");
    List<MembershipSample> samples = new ArrayList<>();
    for (int size : plan.sizes()) {
      MembershipSample sample = measure(size);
      samples.add(sample);
      print(sample);
    }
    return samples;
  }

  private MembershipSample measure(int size) throws Exception {
    lossRate = 0;
    List<HollowMember> members = start(size);
    try {
      double converged = secondsUntil(CONVERGENCE_LIMIT_SECONDS, () -> all(members, size));
      TimeUnit.SECONDS.sleep(plan.settleSeconds());
      Totals before = Totals.of(members);
      TimeUnit.SECONDS.sleep(plan.measureSeconds());
      Totals after = Totals.of(members);
      lossRate = plan.lossRate();
      TimeUnit.SECONDS.sleep(plan.lossSeconds());
      lossRate = 0;
      Totals afterLoss = Totals.of(members);
      double leaving = leave(members);
      double[] detection = kill(members);
      double seconds = (after.nanos - before.nanos) / NANOS_PER_SECOND;
      double share = seconds * size;
      return new MembershipSample(
          size,
          converged,
          (after.bytesOut - before.bytesOut) / share,
          after.highestBytesOutSince(before) / seconds,
          (after.bytesIn - before.bytesIn) / share,
          (after.messagesOut - before.messagesOut) / share,
          (after.cpuNanos - before.cpuNanos) / NANOS_PER_SECOND / share * PERCENT,
          afterLoss.suspicions - after.suspicions,
          afterLoss.deaths - after.deaths,
          (afterLoss.nanos - after.nanos) / NANOS_PER_SECOND,
          detection[0],
          detection[1],
          leaving);
    } finally {
      for (HollowMember member : members) {
        member.gossip().abort();
      }
    }
  }

  private List<HollowMember> start(int size) throws Exception {
    JsonCodec codec = new JsonCodec();
    List<HollowMember> members = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      String name = "member-" + index;
      members.add(
          new HollowMember(
              name, "region", "zone", codec, FilteredTransport.losing(() -> lossRate)));
    }
    List<Machine> machines = members.stream().map(HollowMember::machine).toList();
    members.forEach(member -> member.gossip().machineList(new MachineList(1, machines)));
    return members;
  }

  private static double leave(List<HollowMember> members) throws InterruptedException {
    HollowMember leaving = members.get(1);
    long start = System.nanoTime();
    leaving.gossip().announceLeaving();
    secondsUntil(
        EVENT_LIMIT_SECONDS,
        () ->
            countSeeing(members, view -> state(view, leaving.node()) == Member.State.LEAVING)
                == members.size());
    return (System.nanoTime() - start) / NANOS_PER_SECOND;
  }

  private static double[] kill(List<HollowMember> members) throws Exception {
    HollowMember victim = members.remove(0);
    victim.gossip().abort();
    Predicate<MembershipView> gone = view -> view.member(victim.node()).isEmpty();
    double half =
        secondsUntil(EVENT_LIMIT_SECONDS, () -> countSeeing(members, gone) * 2 >= members.size());
    double rest =
        secondsUntil(EVENT_LIMIT_SECONDS, () -> countSeeing(members, gone) == members.size());
    return new double[] {half, half + rest};
  }

  private static Member.State state(MembershipView view, NodeId node) {
    return view.member(node).map(Member::state).orElse(Member.State.DEAD);
  }

  private static long countSeeing(List<HollowMember> members, Predicate<MembershipView> seen) {
    return members.stream().filter(member -> seen.test(member.gossip().view())).count();
  }

  private static boolean all(List<HollowMember> members, int size) {
    return countSeeing(members, view -> view.members().size() == size) == size;
  }

  /** Waits for a condition; the limit passes as infinity, so that it shows in the output. */
  private static double secondsUntil(long limitSeconds, BooleanSupplier condition)
      throws InterruptedException {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(limitSeconds)) {
        return Double.POSITIVE_INFINITY;
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
    }
    return (System.nanoTime() - start) / NANOS_PER_SECOND;
  }

  private void print(MembershipSample sample) {
    out.printf(
        "%d %.1f %.0f %.0f %.0f %.2f %.3f %d %d %.0f %.1f %.1f %.2f%n",
        sample.members(),
        sample.convergedSeconds(),
        sample.bytesOutPerSecond(),
        sample.bytesOutPerSecondHighest(),
        sample.bytesInPerSecond(),
        sample.messagesOutPerSecond(),
        sample.cpuPercent(),
        sample.suspicionsAtLoss(),
        sample.deathsAtLoss(),
        sample.lossSeconds(),
        sample.detectionSeconds(),
        sample.detectionAllSeconds(),
        sample.leavingAllSeconds());
  }

  /** Counters of all members at one moment. */
  private static final class Totals {
    private final long nanos = System.nanoTime();
    private final List<Long> bytesOutEach = new ArrayList<>();
    private long bytesOut;
    private long bytesIn;
    private long messagesOut;
    private long cpuNanos;
    private long suspicions;
    private long deaths;

    static Totals of(List<HollowMember> members) {
      Totals totals = new Totals();
      for (HollowMember member : members) {
        GossipTraffic traffic = member.gossip().traffic();
        totals.bytesOutEach.add(traffic.sent().bytesSent());
        totals.bytesOut += traffic.sent().bytesSent();
        totals.bytesIn += traffic.bytesReceived();
        totals.messagesOut += traffic.sent().messagesSent();
        totals.suspicions += traffic.sent().suspicions();
        totals.deaths += traffic.sent().deaths();
        totals.cpuNanos += member.cpuNanos();
      }
      return totals;
    }

    long highestBytesOutSince(Totals before) {
      long highest = 0;
      for (int index = 0; index < bytesOutEach.size(); index++) {
        highest = Math.max(highest, bytesOutEach.get(index) - before.bytesOutEach.get(index));
      }
      return highest;
    }
  }
}
