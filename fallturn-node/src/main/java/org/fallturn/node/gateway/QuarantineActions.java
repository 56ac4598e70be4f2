package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.quarantine.Quarantine;
import org.fallturn.core.quarantine.QuarantineStatusChange;
import org.fallturn.core.quarantine.RequestFingerprint;

/**
 * Carries out what the quarantine asks for: engines are probed, the store is written, changes are
 * logged. Only the dispatch thread calls, but for the count.
 */
final class QuarantineActions {

  private final Dispatcher dispatcher;
  private final EngineProbe probe;
  private final QuarantineDuty store;
  private final DecisionLog log;
  private volatile int quarantined;

  QuarantineActions(
      Dispatcher dispatcher, EngineProbe probe, QuarantineDuty store, DecisionLog log) {
    this.dispatcher = dispatcher;
    this.probe = probe;
    this.store = store;
    this.log = log;
  }

  /** Carries out what is due, and gives the contents that have come into quarantine since. */
  List<RequestFingerprint> carryOutDue(long nowNanos) {
    Quarantine quarantine = dispatcher.quarantine();
    for (String engineId : quarantine.takeProbes(nowNanos)) {
      dispatcher.engine(engineId).ifPresent(probe::ask);
    }
    quarantine.takeUnstored(nowNanos).forEach(store::put);
    quarantine.takeUnstoredSuspects().forEach(store::putSuspect);
    quarantine.takeReleased().forEach(store::remove);
    quarantined = quarantine.quarantined();
    List<RequestFingerprint> added = new ArrayList<>();
    for (QuarantineStatusChange change : quarantine.takeChanges()) {
      log.standingChanged(change);
      if (!change.status().sendable()) {
        added.add(change.content());
      }
    }
    return added;
  }

  /** An engine was found to be gone. */
  void onEngineGone(String engineId, long nowNanos) {
    log.engineGone(engineId);
    dispatcher.quarantine().onEngineGone(engineId, nowNanos);
  }

  /** How many contents are in quarantine; any thread may call. */
  int quarantined() {
    return quarantined;
  }
}
