package org.fallturn.node.lease;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.Authority;
import org.fallturn.core.lease.LeadershipListener;
import org.fallturn.core.lease.LeaseAction;
import org.fallturn.core.lease.LeaseManager;
import org.fallturn.node.duty.DutyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides about leases. Feeds the state machine with events and hands its actions to the other
 * duties; publishes the rights to order after every event. Never blocks.
 */
final class LeaseDuty implements DutyHandler<LeaseEvent> {

  private static final Logger LOG = LoggerFactory.getLogger(LeaseDuty.class);

  private final LeaseManager manager;
  private final CandidateSource candidateSource;
  private final AuthorityBoard board;
  private final Consumer<LeaseAction> performer;
  private final LeadershipListener listener;
  private final Set<PoolId> announced = new HashSet<>();
  private final List<CompletableFuture<Void>> leavers = new ArrayList<>();

  /**
   * A duty that has not begun.
   *
   * @param performer performs actions without blocking
   */
  LeaseDuty(
      LeaseManager manager,
      CandidateSource candidateSource,
      AuthorityBoard board,
      Consumer<LeaseAction> performer,
      LeadershipListener listener) {
    this.manager = manager;
    this.candidateSource = candidateSource;
    this.board = board;
    this.performer = performer;
    this.listener = listener;
  }

  @Override
  public void onTick() {
    long now = System.nanoTime();
    candidateSource.refresh(now).ifPresent(found -> manager.onCandidates(found, now));
    perform(manager.onTick(now));
    completeLeavers();
  }

  @Override
  public void onEvent(LeaseEvent event) {
    long now = System.nanoTime();
    if (!onTableAnswer(event, now) && !onWitnessEvent(event, now)) {
      onOtherEvent(event);
    }
    publish();
  }

  private boolean onTableAnswer(LeaseEvent event, long now) {
    if (event instanceof LeaseEvent.RowsRead read) {
      perform(manager.onRows(read.rows(), now));
    } else if (event instanceof LeaseEvent.ReadFailed) {
      manager.onReadFailed();
    } else if (event instanceof LeaseEvent.Committed committed) {
      perform(manager.onCommitted(committed.batch(), now));
    } else if (event instanceof LeaseEvent.Conflict conflict) {
      perform(manager.onConflict(conflict.batch(), conflict.present(), now));
    } else if (event instanceof LeaseEvent.NoEffect none) {
      manager.onNoEffect(none.batch(), now);
    } else if (event instanceof LeaseEvent.Unknown unknown) {
      manager.onUnknown(unknown.batch(), now);
    } else {
      return false;
    }
    return true;
  }

  private boolean onWitnessEvent(LeaseEvent event, long now) {
    if (event instanceof LeaseEvent.PromiseAsked asked) {
      asked.answer().complete(manager.onPromiseRequest(asked.request(), now));
    } else if (event instanceof LeaseEvent.ConsentAsked asked) {
      asked.answer().complete(manager.onConsentRequest(asked.request(), now));
    } else if (event instanceof LeaseEvent.PromiseAnswered answered) {
      manager.onPromiseAnswer(answered.request(), answered.answer(), answered.askedNanos());
    } else if (event instanceof LeaseEvent.ConsentAnswered answered) {
      manager.onConsentAnswer(answered.request(), answered.answer(), now);
    } else {
      return false;
    }
    return true;
  }

  private void onOtherEvent(LeaseEvent event) {
    if (event instanceof LeaseEvent.PoolFenced fenced) {
      onPoolFenced(fenced);
    } else if (event instanceof LeaseEvent.EngineKnown known) {
      if (announced.contains(known.pool()) && leads(known.pool(), known.epoch())) {
        listener.onEngineFenced(known.pool(), known.epoch(), known.state());
      }
    } else if (event instanceof LeaseEvent.Superseded superseded) {
      perform(manager.onSuperseded(superseded.pool(), superseded.epoch()));
    } else if (event instanceof LeaseEvent.LoadsWanted wanted) {
      manager.onLoadDemand(wanted.pool(), wanted.demand());
    } else if (event instanceof LeaseEvent.Leave leave) {
      LOG.info("lease: Leaving, gives up {} leases.", manager.led().size());
      perform(manager.onLeaving());
      leavers.add(leave.released());
    }
  }

  private void onPoolFenced(LeaseEvent.PoolFenced fenced) {
    if (leads(fenced.pool(), fenced.epoch()) && announced.add(fenced.pool())) {
      LOG.info(
          "lease: Leads pool {} at epoch {} with {} engines fenced.",
          fenced.pool(),
          fenced.epoch().value(),
          fenced.states().size());
      listener.onAcquired(fenced.pool(), fenced.epoch(), fenced.states());
    }
  }

  private boolean leads(PoolId pool, Epoch epoch) {
    Authority authority = manager.authorities().get(pool);
    return authority != null && authority.epoch().equals(epoch);
  }

  private void perform(List<LeaseAction> actions) {
    publish();
    for (LeaseAction action : actions) {
      performer.accept(action);
      if (action instanceof LeaseAction.End end) {
        onEnd(end);
      }
    }
  }

  private void onEnd(LeaseAction.End end) {
    LOG.info("lease: No longer leads pool {}, epoch {}.", end.pool(), end.epoch().value());
    if (announced.remove(end.pool())) {
      listener.onLost(end.pool(), end.epoch());
    }
  }

  private void publish() {
    Map<PoolId, Authority> authorities = manager.authorities();
    board.publish(authorities);
  }

  private void completeLeavers() {
    if (!leavers.isEmpty() && manager.isReleased()) {
      leavers.forEach(leaver -> leaver.complete(null));
      leavers.clear();
    }
  }
}
