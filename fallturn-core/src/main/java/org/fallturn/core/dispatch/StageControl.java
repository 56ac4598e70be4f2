package org.fallturn.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.fallturn.core.pace.WorkKind;
import org.fallturn.core.routing.EngineProfile;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.ServiceDefinition;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.stages.StageOutlook;
import org.fallturn.core.stages.StageParameters;
import org.fallturn.core.stages.StagePlanner;
import org.fallturn.core.stages.StageView;

/**
 * Watches the load of every model service and decides which engine should change to another stage.
 *
 * <p>Only candidate nodes watch, since views of all engines at each node would cost more than most
 * nodes spend on their requests. Among the candidates that were heard recently and that the store
 * serves, the one whose name comes first orders the changes. The lease in the store keeps two nodes
 * that both consider themselves first from ordering. Only the dispatch thread calls it.
 */
public final class StageControl {

  /**
   * Time allowed beyond the change itself: the order has to reach the engine, and the new stage has
   * to reach this node through the store.
   */
  private static final Duration CHANGE_MARGIN = Duration.ofSeconds(4);

  /** How long an engine may still carry out an order that it has not answered. */
  private static final Duration UNANSWERED_ORDER_TIME = Duration.ofSeconds(13);

  /**
   * How long this node leaves the orders to another one after it failed in the leader's duty, for
   * example because the store did not answer it. When the right to order moves back, nobody orders
   * for the term of the lease and its quiet time, so it should not move back soon. This value is an
   * estimate.
   */
  private static final long LEADER_DUTY_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(20);

  /**
   * How long a node that has heard no other waits before it acts for all nodes. Until it has heard
   * them, it considers itself first, and takes the lease from the node that is.
   */
  private static final long LISTENING_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final Function<String, PrefillSpeed> speeds;
  private final String node;
  private final StageParameters parameters;
  private final Map<String, StagePlanner> planners = new HashMap<>();
  private OptionalLong leaderDutyFailedNanos = OptionalLong.empty();
  private OptionalLong startedNanos = OptionalLong.empty();
  private boolean peersKnown;
  private boolean candidate = true;

  StageControl(
      EngineSelector selector,
      PeerLoads peerLoads,
      Function<String, PrefillSpeed> speeds,
      String node,
      StageParameters parameters) {
    this.selector = selector;
    this.peerLoads = peerLoads;
    this.speeds = speeds;
    this.node = node;
    this.parameters = parameters;
  }

  /** Returns the change that this node should order now, if any. */
  Optional<StageChange> onTick(Collection<ServiceDefinition> services, long nowNanos) {
    selector.pruneChanging(nowNanos);
    if (startedNanos.isEmpty()) {
      startedNanos = OptionalLong.of(nowNanos);
    }
    if (!parameters.enabled() || !candidate) {
      return Optional.empty();
    }
    boolean first = leads(nowNanos);
    Optional<StageChange> change = Optional.empty();
    for (ServiceDefinition service : services) {
      if (service.engine().isPresent()) {
        List<StageView> views = views(service.name(), nowNanos);
        StagePlanner planner = planner(service.name());
        planner.observe(views, nowNanos);
        if (first && change.isEmpty()) {
          change =
              planner
                  .wanted(views, nowNanos)
                  .filter(wanted -> !selector.rests(wanted.engine(), nowNanos));
        }
      }
    }
    return change;
  }

  /**
   * Returns the figures on which the planners decide, by service; empty at a node that does not
   * order changes.
   */
  public Map<String, StageOutlook> outlooks(long nowNanos) {
    Map<String, StageOutlook> outlooks = new TreeMap<>();
    if (isOrderingNode(nowNanos)) {
      planners.forEach(
          (service, planner) ->
              outlooks.put(service, planner.outlook(views(service, nowNanos), nowNanos)));
    }
    return outlooks;
  }

  private boolean isOrderingNode(long nowNanos) {
    return mayOrder(nowNanos) && peerLoads.isFirstByName(node, nowNanos);
  }

  /**
   * Returns whether this node acts for all nodes. If all candidates have recently failed to do so,
   * each of them tries again and the lease decides, since a late report, or a service without
   * engines of one stage, is worse than a futile call.
   */
  public boolean leads(long nowNanos) {
    return isOrderingNode(nowNanos)
        || candidate && !isServed(nowNanos) && peerLoads.noPeerMayOrder(nowNanos);
  }

  /** Sets whether any other node has been heard or there is none. */
  void setPeersKnown(boolean known) {
    peersKnown = known;
  }

  /** Sets whether this node is one of the few that may order changes at all. */
  public void setCandidate(boolean isCandidate) {
    candidate = isCandidate;
  }

  /**
   * Returns whether this node may order changes as far as is known: it is a candidate, it has heard
   * other nodes or listened for long enough, and it has not recently failed to act for all nodes.
   */
  public boolean mayOrder(long nowNanos) {
    return candidate && hasListened(nowNanos) && isServed(nowNanos);
  }

  private boolean hasListened(long nowNanos) {
    return peersKnown
        || startedNanos.isPresent() && nowNanos - startedNanos.getAsLong() >= LISTENING_NANOS;
  }

  private boolean isServed(long nowNanos) {
    return leaderDutyFailedNanos.isEmpty()
        || nowNanos - leaderDutyFailedNanos.getAsLong() >= LEADER_DUTY_PAUSE_NANOS;
  }

  /**
   * Records that this node cannot carry out the leader's duty, for example since a call to the
   * store or the platform failed. Another node may be able to, since the store may serve that one.
   */
  public void onLeaderDutyFailed(long nowNanos) {
    leaderDutyFailedNanos = OptionalLong.of(nowNanos);
  }

  private StagePlanner planner(String service) {
    return planners.computeIfAbsent(service, name -> new StagePlanner(parameters.leastShare()));
  }

  private List<StageView> views(String service, long nowNanos) {
    List<StageView> views = new ArrayList<>();
    for (ServingEngine engine : selector.listed(service)) {
      if (engine.stage() != EngineStage.NONE && !engine.leaving()) {
        views.add(view(engine, nowNanos));
      }
    }
    return views;
  }

  private StageView view(ServingEngine engine, long nowNanos) {
    long backlog = selector.backlogTokens(engine, nowNanos);
    double wait =
        selector.slowness(engine, WorkKind.READING, nowNanos)
            * speeds.apply(engine.service()).readMillis(engine.stage(), backlog);
    return new StageView(
        engine,
        selector.takesRequests(engine, nowNanos),
        selector.changingTo(engine, nowNanos),
        selector.running(engine, nowNanos),
        wait);
  }

  /**
   * Records that a change is about to be ordered. From now on the engine gets no requests.
   *
   * @param profile gives the time that a change takes
   */
  void begin(StageChange change, Optional<EngineProfile> profile, long nowNanos) {
    Duration longest =
        profile.map(EngineProfile::roleSwitch).orElse(CHANGE_MARGIN).plus(CHANGE_MARGIN);
    selector.beginChange(change.engine(), change.stage(), nowNanos + longest.toNanos());
    planner(change.engine().service()).onOrdered(change.stage(), nowNanos);
  }

  /** Records that the order was not given, or was refused. */
  public void abandon(StageChange change) {
    selector.endChange(change.engine());
  }

  /**
   * Records that the order got no answer. For some time it is not known whether and when the engine
   * changes.
   */
  public void onUnanswered(StageChange change, long nowNanos) {
    selector.beginChange(
        change.engine(), change.stage(), nowNanos + UNANSWERED_ORDER_TIME.toNanos());
  }
}
