package org.fallturn.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.routing.ServingEngine;

/**
 * Decides by which way this node sends requests to each engine: directly or, while its own link to
 * the engine does not work, through another node. An engine that this node does not reach although
 * others hear it is not faulty, and callers must not suffer from a link of this node alone.
 *
 * <p>Invariant: requests go through another node, over one hop, only to engines that another node
 * has heard since this one failed to reach them and, while there are such, to engines that this
 * node has never reached. Probes by calls of this node find out whether a link works, so that no
 * caller's request is risked for that. Confined to one thread.
 */
public final class EnginePaths {

  /**
   * How long an engine may give no sign of life to this node, while its requests wait there and
   * others hear it, before its link is probed.
   */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /** The least time between two probes of one link. */
  private static final long PROBE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** An engine heard within this time is not probed when the link to another one is lost. */
  private static final long RECENT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final EngineSelector selector;
  private final PeerLoads peerLoads;
  private final EngineLimits limits;
  private final ForwardingPeers peers = new ForwardingPeers();
  private final Map<String, Long> probedNanos = new HashMap<>();
  private final Set<String> dueProbes = new HashSet<>();
  private final Map<String, UnansweredProbe> unansweredProbes = new HashMap<>();
  private Set<String> throughPeers = Set.of();

  private record UnansweredProbe(boolean onNewConnection, long askedNanos) {}

  EnginePaths(EngineSelector selector, PeerLoads peerLoads, EngineLimits limits) {
    this.selector = selector;
    this.peerLoads = peerLoads;
    this.limits = limits;
  }

  /** Sets the nodes that can forward requests. */
  public void setPeers(List<NetworkAddress> heard) {
    peers.set(heard);
  }

  /** The ids of the engines that this node reaches only through others. */
  public Set<String> engineIdsThroughPeers() {
    return throughPeers;
  }

  /** The node to send a request through; empty to send it to the engine directly. */
  Optional<NetworkAddress> forwarderFor(ServingEngine engine, long nowNanos) {
    EngineHealth health = selector.load(engine).health();
    if (!throughPeers.isEmpty() && !peers.isEmpty() && health.isLinkUntried()) {
      health.onPathLost(nowNanos);
    }
    return health.throughPeers() ? peers.choose(engine.id(), nowNanos) : Optional.empty();
  }

  /** Handles a part of an answer, by whichever way it came. */
  void onAnswer(RequestProgress progress) {
    progress.forwarder().ifPresent(peers::onAnswer);
  }

  /**
   * Avoids the node that an attempt was sent through, which brought no answer. Called before the
   * failure of the attempt is known for certain, so that no other request follows it meanwhile.
   */
  public void onForwarderFailed(RequestProgress progress, long nowNanos) {
    progress
        .forwarder()
        .ifPresent(
            peer ->
                progress
                    .engine()
                    .ifPresent(engine -> peers.onFailure(peer, engine.id(), nowNanos)));
  }

  /** Handles the failure of an attempt that was sent through another node. */
  void onForwardedFailure(
      RequestProgress progress, ServingEngine engine, AttemptOutcome outcome, long nowNanos) {
    EngineHealth health = selector.load(engine).health();
    switch (outcome) {
      case NOT_SENT -> {
        progress.forwarder().ifPresent(peer -> peers.onFailure(peer, engine.id(), nowNanos));
        progress.allowAgain(engine);
        health.onForwardedFailure(nowNanos);
      }
      case LOST, SILENT, BROKEN_MIDWAY -> {
        progress.forwarder().ifPresent(peer -> peers.onFailure(peer, engine.id(), nowNanos));
        health.onForwardedFailure(nowNanos);
      }
      case MISDIRECTED -> health.onFailure(outcome, nowNanos);
      case ANSWERED_FAILURE, NOT_EXECUTED -> health.onForwardedRefusal(nowNanos);
      default -> {}
    }
  }

  /** Updates the ways to the engines; called several times a second. */
  void onTick(long nowNanos) {
    Set<String> before = throughPeers;
    Set<String> now = new HashSet<>();
    selector.loads().forEach((id, load) -> check(id, load, now, nowNanos));
    throughPeers = Set.copyOf(now);
    if (!before.containsAll(now)) {
      probeAllQuiet(nowNanos);
    }
  }

  private void check(String engineId, EngineLoad load, Set<String> through, long nowNanos) {
    OptionalLong heard = peerLoads.heardNanos(engineId);
    heard.ifPresent(nanos -> load.health().onPeerSignOfLife(nanos, !peers.isEmpty()));
    if (isLost(engineId, load, heard)) {
      unansweredProbes.remove(engineId);
      load.health().onPathLost(nowNanos);
    }
    if (load.health().throughPeers()) {
      through.add(engineId);
      dueProbes.add(engineId);
    } else if (load.health().suspended() || load.health().connectFailed()) {
      dueProbes.add(engineId);
    } else if (heard.isPresent() && isQuietHereAlone(load, heard.getAsLong(), nowNanos)) {
      dueProbes.add(engineId);
    }
  }

  /**
   * Whether another node has heard the engine since a probe that was not answered. A probe that is
   * refused ends long before the others can have reported. What this node has heard itself since
   * counts against it, unless it came over a connection that was open before.
   */
  private boolean isLost(String engineId, EngineLoad load, OptionalLong peersHeard) {
    UnansweredProbe probe = unansweredProbes.get(engineId);
    if (probe == null || peers.isEmpty() || load.health().throughPeers()) {
      return false;
    }
    boolean heardHere = !probe.onNewConnection() && isAfter(load.heardNanos(), probe.askedNanos());
    return !heardHere && isAfter(peersHeard, probe.askedNanos());
  }

  private static boolean isAfter(OptionalLong heard, long nanos) {
    return heard.isPresent() && heard.getAsLong() - nanos > 0;
  }

  /** Whether a request waits in vain at an engine that another node has heard meanwhile. */
  private static boolean isQuietHereAlone(EngineLoad load, long peersHeardNanos, long nowNanos) {
    long sinceNanos =
        load.oldest()
            .filter(oldest -> oldest.forwarder().isEmpty())
            .map(oldest -> load.lastSignOfLifeNanos(oldest.sentNanos(), OptionalLong.empty()))
            .orElse(nowNanos);
    return nowNanos - sinceNanos >= QUIET_NANOS && peersHeardNanos - sinceNanos > 0;
  }

  /** When one link is lost, others may be: a node may be cut off from all engines at once. */
  private void probeAllQuiet(long nowNanos) {
    for (String engineId : selector.knownIds()) {
      EngineLoad load = selector.loads().get(engineId);
      if (load == null || !load.heardWithin(RECENT_NANOS, nowNanos)) {
        dueProbes.add(engineId);
      }
    }
  }

  /** Whether open connections to an engine say nothing about its link. */
  private boolean isSuspect(String engineId) {
    EngineLoad load = selector.loads().get(engineId);
    return load != null
        && (load.health().suspended()
            || load.health().throughPeers()
            || load.health().connectFailed());
  }

  /** The links to probe now. */
  public List<LinkProbe> takeDueProbes(long nowNanos) {
    List<LinkProbe> due = new ArrayList<>();
    if (!peers.isEmpty()) {
      for (String engineId : dueProbes) {
        if (mayProbe(engineId, nowNanos)) {
          selector
              .find(engineId)
              .ifPresent(engine -> due.add(new LinkProbe(engine, isSuspect(engineId))));
        }
      }
    }
    dueProbes.clear();
    if (!due.isEmpty()) {
      due.forEach(probe -> probedNanos.put(probe.engine().id(), nowNanos));
      probedNanos.keySet().retainAll(selector.knownIds());
      unansweredProbes.keySet().retainAll(probedNanos.keySet());
    }
    return due;
  }

  /**
   * Whether a link may be probed now. An engine that limits its requests counts probes, too, and
   * they would leave no room for the request that finds out that the limit has ended.
   */
  private boolean mayProbe(String engineId, long nowNanos) {
    Long probed = probedNanos.get(engineId);
    boolean paused = probed == null || nowNanos - probed >= PROBE_PAUSE_NANOS;
    return paused && !limits.limited(engineId);
  }

  /**
   * Handles the end of a probe. An engine that does not answer and that no other node hears from
   * then on may itself be at fault, which other detectors find out.
   *
   * @param reached whether the engine answered, whatever it said
   * @param askedNanos when the probe was sent
   */
  public void onProbed(LinkProbe probe, boolean reached, long askedNanos) {
    String engineId = probe.engine().id();
    if (selector.find(engineId).isEmpty()) {
      return;
    }
    if (reached) {
      unansweredProbes.remove(engineId);
      selector.load(probe.engine()).health().onPathWorks();
    } else {
      unansweredProbes.put(engineId, new UnansweredProbe(probe.onNewConnection(), askedNanos));
    }
  }
}
