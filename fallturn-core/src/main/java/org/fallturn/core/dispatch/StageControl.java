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
 * Watches the load of every model service and says which engine should take another stage. The
 * candidates watch, since views of all engines at every node cost more than most nodes do for their
 * requests; the one whose name is first among the candidates that are heard and that the store
 * serves acts, and the lease in the store keeps two that both believe they are first from ordering.
 * Only the dispatch thread calls.
 */
public final class StageControl {

  /** Beyond the change itself: the order's way, and the way of the news through the store. */
  private static final Duration NEWS_MARGIN = Duration.ofSeconds(4);

  /** An order without an answer may still be carried out for so long. */
  private static final Duration UNANSWERED = Duration.ofSeconds(13);

  /**
   * So long another node orders when the store does not answer this one. When the right goes back,
   * nobody orders for the lease's term and quiet time, so that it should not go back soon. Judged.
   */
  private static final long NO_LEASE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final Function<String, PrefillSpeed> speeds;
  private final String node;
  private final StageParameters parameters;
  private final Map<String, StagePlanner> planners = new HashMap<>();
  private OptionalLong noLeaseNanos = OptionalLong.empty();
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

  /** The change that this node should order now, if any. */
  Optional<StageChange> onTick(Collection<ServiceDefinition> services, long nowNanos) {
    selector.pruneChanging(nowNanos);
    if (!parameters.enabled() || !candidate) {
      return Optional.empty();
    }
    boolean first = orders(nowNanos);
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

  /** What the planners go by, by service; empty at a node that orders nothing. */
  public Map<String, StageOutlook> outlooks(long nowNanos) {
    Map<String, StageOutlook> outlooks = new TreeMap<>();
    if (orders(nowNanos)) {
      planners.forEach(
          (service, planner) ->
              outlooks.put(service, planner.outlook(views(service, nowNanos), nowNanos)));
    }
    return outlooks;
  }

  private boolean orders(long nowNanos) {
    return mayOrder(nowNanos) && peerLoads.isFirstByName(node, nowNanos);
  }

  /**
   * Whether this node is the one that acts for all. Where all candidates have failed to, each of
   * them tries again and the lease decides: a report that is late is worse than a call in vain.
   */
  public boolean leads(long nowNanos) {
    return orders(nowNanos)
        || candidate && !isServed(nowNanos) && peerLoads.noPeerMayOrder(nowNanos);
  }

  /** Says whether this node is one of the few that may order at all. */
  public void setCandidate(boolean isCandidate) {
    candidate = isCandidate;
  }

  /** Whether nothing is known that keeps this node from ordering. */
  public boolean mayOrder(long nowNanos) {
    return candidate && isServed(nowNanos);
  }

  private boolean isServed(long nowNanos) {
    return noLeaseNanos.isEmpty() || nowNanos - noLeaseNanos.getAsLong() >= NO_LEASE_PAUSE_NANOS;
  }

  /** The store did not give this node the lease, though it may serve others. */
  public void onLeaseDenied(long nowNanos) {
    noLeaseNanos = OptionalLong.of(nowNanos);
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
   * The change is about to be ordered: no request goes there from now on.
   *
   * @param profile how long a change takes
   */
  void begin(StageChange change, Optional<EngineProfile> profile, long nowNanos) {
    Duration longest = profile.map(EngineProfile::roleSwitch).orElse(NEWS_MARGIN).plus(NEWS_MARGIN);
    selector.beginChange(change.engine(), change.stage(), nowNanos + longest.toNanos());
    planner(change.engine().service()).onOrdered(change.stage(), nowNanos);
  }

  /** The order was not given, or refused. */
  public void abandon(StageChange change) {
    selector.endChange(change.engine());
  }

  /** The order got no answer: whether and when the engine changes is not known for some time. */
  public void onUnanswered(StageChange change, long nowNanos) {
    selector.beginChange(change.engine(), change.stage(), nowNanos + UNANSWERED.toNanos());
  }
}
