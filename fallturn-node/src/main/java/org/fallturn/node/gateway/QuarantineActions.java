package org.fallturn.node.gateway;

import java.util.ArrayList;
import java.util.List;
import org.fallturn.core.dispatch.Dispatcher;
import org.fallturn.core.quarantine.Quarantine;
import org.fallturn.core.quarantine.QuarantineStatusChange;
import org.fallturn.core.quarantine.RequestFingerprint;

/**
 * Carries out what the quarantine asks for: probes engines, queues writes to the store, and logs
 * changes. Only the dispatch thread calls, except for the counts of what is in quarantine.
 */
final class QuarantineActions {

  private final Dispatcher dispatcher;
  private final EngineProbe probe;
  private final QuarantineDuty storeDuty;
  private final DecisionLog log;
  private volatile int quarantinedContents;
  private volatile int quarantinedParts;

  QuarantineActions(
      Dispatcher dispatcher, EngineProbe probe, QuarantineDuty storeDuty, DecisionLog log) {
    this.dispatcher = dispatcher;
    this.probe = probe;
    this.storeDuty = storeDuty;
    this.log = log;
  }

  /**
   * Carries out what is due.
   *
   * @return contents and parts that came into quarantine since the last call
   */
  List<RequestFingerprint> carryOutDue(long nowNanos) {
    Quarantine quarantine = dispatcher.quarantine();
    for (String engineId : quarantine.takeProbes(nowNanos)) {
      dispatcher.engine(engineId).ifPresent(probe::ask);
    }
    // The engines first: a part in quarantine without them would hold back all that share it.
    quarantine.takeUnstoredSuspects().forEach(storeDuty::putSuspect);
    quarantine.takeUnstored(nowNanos).forEach(storeDuty::put);
    quarantine.takeReleased().forEach(storeDuty::remove);
    quarantinedContents = quarantine.quarantined(RequestFingerprint.Kind.CONTENT);
    quarantinedParts = quarantine.quarantined(RequestFingerprint.Kind.PROMPT_PART);
    List<RequestFingerprint> added = new ArrayList<>();
    for (QuarantineStatusChange change : quarantine.takeChanges()) {
      log.standingChanged(change);
      if (!change.status().sendable()) {
        added.add(change.content());
      }
    }
    return added;
  }

  /** Writes again what a store that was restored from a copy may have lost. */
  void storeAgain() {
    dispatcher.quarantine().stored().forEach(storeDuty::put);
  }

  /** Logs that a probe found an engine to be gone, and records it in the quarantine. */
  void onEngineGone(String engineId, long nowNanos) {
    log.engineGone(engineId);
    dispatcher.quarantine().onEngineGone(engineId, nowNanos);
  }

  /** Returns how many contents are in quarantine; any thread may call. */
  int quarantinedContents() {
    return quarantinedContents;
  }

  /** Returns how many parts of prompts are in quarantine; any thread may call. */
  int quarantinedParts() {
    return quarantinedParts;
  }
}
