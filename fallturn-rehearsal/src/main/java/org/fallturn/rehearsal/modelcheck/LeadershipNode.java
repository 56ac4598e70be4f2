package org.fallturn.rehearsal.modelcheck;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.lease.CandidateSelection;
import org.fallturn.core.lease.LeaseAction;
import org.fallturn.core.lease.LeaseManager;
import org.fallturn.core.lease.LeaseRecord;
import org.fallturn.core.lease.LeaseRow;
import org.fallturn.core.lease.LeaseWrite;
import org.fallturn.core.lease.PromiseRequest;

/**
 * A node's lease duty in the simulation: the core's {@link LeaseManager}, driven as the real duty
 * drives it, with the broken variants built into the drive.
 */
final class LeadershipNode extends SimulatedNode {

  private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();
  private static final int TICKS_PER_VIEW = 7;
  private static final long NO_DURATION_MILLIS = 0;

  private final LeadershipWorld world;
  private final NodeId id;
  private final NetworkAddress address;
  private final LeaseManager manager;
  private final LeadershipOrders orders;
  private final CandidateSelection selection;
  private Map<PoolId, Authority> authorities = Map.of();
  private boolean leaving;
  private int ticks;
  private int attempts;

  LeadershipNode(LeadershipWorld world, NodeId id, NetworkAddress address) {
    super(world.simulation(), id.value());
    this.world = world;
    this.id = id;
    this.address = address;
    long process = world.simulation().random().nextLong();
    this.manager =
        new LeaseManager(
            id,
            world.parameters(),
            world.simulation().random(),
            () -> id + "#" + process + "#" + attempts++);
    this.orders = new LeadershipOrders(world, this);
    this.selection = new CandidateSelection(world.parameters());
  }

  NodeId id() {
    return id;
  }

  NetworkAddress address() {
    return address;
  }

  boolean isLeaving() {
    return leaving;
  }

  LeaseManager manager() {
    return manager;
  }

  void start() {
    later(simulation().random().nextLong(TICK_NANOS), this::tick);
  }

  private void tick() {
    if (ticks++ % TICKS_PER_VIEW == 0) {
      manager.onCandidates(
          selection.select(world.viewOf(this), world.machines(), world.pools()), clockNanos());
    }
    perform(manager.onTick(clockNanos()));
    orders.tick(authorities);
    later(TICK_NANOS, this::tick);
  }

  void leave() {
    leaving = true;
    simulation().trace(() -> id + " is leaving");
    perform(manager.onLeaving());
  }

  void perform(List<LeaseAction> actions) {
    publish();
    for (LeaseAction action : actions) {
      if (action instanceof LeaseAction.ReadRows read) {
        world.table().read(name(), read.pools(), answer -> inProcess(() -> onRead(answer)));
      } else if (action instanceof LeaseAction.WriteRows write) {
        write(write);
      } else if (action instanceof LeaseAction.AskPromise ask) {
        askPromise(ask);
      } else if (action instanceof LeaseAction.AskConsent ask) {
        askConsent(ask);
      } else if (action instanceof LeaseAction.Begin begin) {
        simulation().trace(() -> id + " leads " + begin.pool() + " at " + begin.epoch());
        world.onBegin(this, begin.pool(), begin.epoch());
      } else if (action instanceof LeaseAction.End end) {
        simulation().trace(() -> id + " no longer leads " + end.pool() + " at " + end.epoch());
      }
    }
  }

  private void publish() {
    authorities = manager.authorities();
  }

  // Table.

  private void onRead(SimulatedTable.Answer<PoolId, LeaseRecord> answer) {
    if (answer.result() == SimulatedTable.Result.DONE) {
      perform(manager.onRows(rows(answer), clockNanos()));
    } else {
      manager.onReadFailed();
    }
  }

  private void write(LeaseAction.WriteRows action) {
    List<SimulatedTable.Write<PoolId, LeaseRecord>> writes = new ArrayList<>();
    for (LeaseWrite write : action.writes()) {
      writes.add(
          new SimulatedTable.Write<>(write.lease().pool(), write.expectedVersion(), write.lease()));
    }
    world
        .table()
        .write(name(), writes, answer -> inProcess(() -> onWritten(action.batch(), answer)));
  }

  private void onWritten(long batch, SimulatedTable.Answer<PoolId, LeaseRecord> answer) {
    long now = clockNanos();
    switch (answer.result()) {
      case DONE -> perform(manager.onCommitted(batch, now));
      case CONFLICT -> perform(manager.onConflict(batch, rows(answer), now));
      case NO_EFFECT -> manager.onNoEffect(batch, now);
      case UNKNOWN -> onUnknown(batch, now);
      default -> throw new IllegalStateException("unknown result " + answer.result());
    }
    publish();
  }

  private void onUnknown(long batch, long now) {
    world.coverage().count("lost-answers");
    if (world.isBroken(BrokenVariant.LOST_ANSWER_GUESSED_AS_DONE)) {
      perform(manager.onCommitted(batch, now));
    } else if (world.isBroken(BrokenVariant.LOST_ANSWER_GUESSED_AS_FAILED)) {
      manager.onNoEffect(batch, now);
    } else {
      manager.onUnknown(batch, now);
    }
  }

  private List<LeaseRow> rows(SimulatedTable.Answer<PoolId, LeaseRecord> answer) {
    List<LeaseRow> rows = new ArrayList<>();
    answer
        .rows()
        .forEach(
            (pool, row) ->
                rows.add(
                    new LeaseRow(
                        pool, row.version(), Optional.ofNullable(row.value()).map(this::shown))));
    return rows;
  }

  /** The row as this node takes it; broken variants hide a part of another holder's lease. */
  private LeaseRecord shown(LeaseRecord lease) {
    boolean hideWitnesses = world.isBroken(BrokenVariant.TAKEOVER_WITHOUT_CONSENT);
    boolean hideDuration = world.isBroken(BrokenVariant.TAKEOVER_WITHOUT_WAITING);
    if (lease.holder().filter(id::equals).isPresent() || !(hideWitnesses || hideDuration)) {
      return lease;
    }
    return new LeaseRecord(
        lease.pool(),
        lease.holder(),
        lease.epoch(),
        lease.attemptId(),
        hideDuration ? NO_DURATION_MILLIS : lease.durationMillis(),
        lease.outageLimitMillis(),
        hideWitnesses ? List.of() : lease.witnesses(),
        lease.witnessListVersion(),
        lease.loads());
  }

  // Witnesses.

  private void askPromise(LeaseAction.AskPromise ask) {
    Optional<LeadershipNode> witness = world.nodeAt(ask.address());
    if (witness.isEmpty()) {
      return;
    }
    PromiseRequest shown = shown(ask.request());
    ask(
        witness.get(),
        () -> witness.get().manager.onPromiseRequest(shown, witness.get().clockNanos()),
        answer -> {
          manager.onPromiseAnswer(ask.request(), answer, ask.askedNanos());
          publish();
        });
  }

  /** Broken variant: hides from the witness that it has consented to a takeover. */
  private PromiseRequest shown(PromiseRequest request) {
    if (!world.isBroken(BrokenVariant.PROMISE_DESPITE_CONSENT)) {
      return request;
    }
    return new PromiseRequest(
        request.witness(),
        request.pool(),
        request.holder(),
        request.epoch(),
        Long.MAX_VALUE,
        request.durationMillis());
  }

  private void askConsent(LeaseAction.AskConsent ask) {
    Optional<LeadershipNode> witness = world.nodeAt(ask.address());
    if (witness.isEmpty()) {
      return;
    }
    ask(
        witness.get(),
        () -> witness.get().manager.onConsentRequest(ask.request(), witness.get().clockNanos()),
        answer -> {
          manager.onConsentAnswer(ask.request(), answer, clockNanos());
          publish();
        });
  }

  private <A> void ask(
      LeadershipNode witness,
      java.util.function.Supplier<A> question,
      java.util.function.Consumer<A> receiver) {
    simulation()
        .send(
            name(),
            witness.name(),
            () ->
                witness.inProcess(
                    () -> {
                      A answer = question.get();
                      simulation()
                          .send(
                              witness.name(),
                              name(),
                              () -> inProcess(() -> receiver.accept(answer)));
                    }));
  }

  // Checks.

  boolean mayOrder(PoolId pool) {
    Authority authority = authorities.get(pool);
    return authority != null && authority.permits(clockNanos());
  }

  boolean isExtended(PoolId pool) {
    Authority authority = authorities.get(pool);
    return authority != null && authority.isExtended(clockNanos());
  }

  Map<PoolId, Authority> authorities() {
    return new HashMap<>(authorities);
  }

  String describeAuthority(PoolId pool) {
    Authority authority = authorities.get(pool);
    long left = (authority.validUntilNanos() - clockNanos()) / 1_000_000;
    return id
        + " ("
        + authority.epoch()
        + ", "
        + left
        + " ms left, "
        + (isExtended(pool) ? "extended by witnesses" : "by the table")
        + ")";
  }
}
