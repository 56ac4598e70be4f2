package org.fallturn.node.lease;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.CandidateSelection;
import org.fallturn.core.lease.PoolCandidates;
import org.fallturn.core.membership.MembershipView;
import org.fallturn.core.port.machines.MachineList;

/**
 * Recomputes candidates and witnesses when membership, machine list or pools have changed, at most
 * twice a second. Owned by the lease duty.
 */
final class CandidateSource {

  private static final long INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

  private final CandidateSelection selection;
  private final Supplier<MembershipView> membership;
  private final Supplier<MachineList> machines;
  private final Supplier<List<PoolEngines>> pools;
  private MembershipView lastView;
  private Set<NodeId> lastHealthy = Set.of();
  private MachineList lastMachines;
  private long lastNanos;

  CandidateSource(
      CandidateSelection selection,
      Supplier<MembershipView> membership,
      Supplier<MachineList> machines,
      Supplier<List<PoolEngines>> pools) {
    this.selection = selection;
    this.membership = membership;
    this.machines = machines;
    this.pools = pools;
  }

  /** The candidates, when they may have changed. */
  Optional<Map<PoolId, PoolCandidates>> refresh(long nowNanos) {
    if (lastView != null && nowNanos - lastNanos < INTERVAL_NANOS) {
      return Optional.empty();
    }
    lastNanos = nowNanos;
    MembershipView view = membership.get();
    MachineList list = machines.get();
    if (view == lastView && list == lastMachines) {
      return Optional.empty();
    }
    Set<NodeId> healthy = CandidateSelection.healthy(view);
    boolean sameChoice = lastView != null && list == lastMachines && healthy.equals(lastHealthy);
    lastView = view;
    lastMachines = list;
    lastHealthy = healthy;
    if (sameChoice) {
      return Optional.empty();
    }
    List<PoolId> names = pools.get().stream().map(PoolEngines::pool).toList();
    return Optional.of(selection.select(view, list, names));
  }
}
