package org.fallturn.node.gateway;

import java.util.Map;
import java.util.Optional;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.DispatchParameters;
import org.fallturn.core.dispatch.LinkProbe;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.scaling.ScaleOrder;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.usage.DutyOutcome;

/** Event that the dispatch duty handles. */
sealed interface DispatchEvent {

  /** Event of one request. */
  sealed interface OfRequest extends DispatchEvent {

    /** The request. */
    Exchange exchange();
  }

  /** A whole request, body included, was read. */
  record Arrived(Exchange exchange) implements OfRequest {}

  /** An engine has prefilled the prompt and holds the KV cache under the handle. */
  record Prefilled(Exchange exchange, EngineAttempt attempt, String handle) implements OfRequest {}

  /** The first part of the answer is about to be relayed. */
  record AnswerBegan(Exchange exchange, EngineAttempt attempt) implements OfRequest {}

  /** An attempt ended without a complete, good answer. */
  record AttemptFailed(Exchange exchange, EngineAttempt attempt, AttemptOutcome outcome)
      implements OfRequest {}

  /**
   * The node that forwards the request of an attempt brought no answer; the failure of the attempt
   * follows once that node has ended it.
   */
  record ForwarderFailed(Exchange exchange, EngineAttempt attempt) implements OfRequest {}

  /** The answer was relayed to its end. */
  record Finished(Exchange exchange, EngineAttempt attempt) implements OfRequest {}

  /** The caller closed its connection, or the connection failed. */
  record CallerGone(Exchange exchange) implements OfRequest {}

  /**
   * The list of engines changed.
   *
   * @param missedEntries whether an entry came and went since the list before
   */
  record DirectoryChanged(EngineDirectory directory, boolean missedEntries)
      implements DispatchEvent {}

  /**
   * The store confirmed that the list of engines, as it was last given, is complete.
   *
   * @param begunNanos when the reading of the store began, in nanoTime
   */
  record DirectoryConfirmed(long begunNanos) implements DispatchEvent {}

  /** Routes and services changed. */
  record RoutingChanged(RoutingImage image) implements DispatchEvent {}

  /**
   * An engine was asked which prompt parts it caches.
   *
   * @param engineId id of the engine
   * @param askedAtNanos when it was asked, in nanoTime
   * @param parts the cached parts; empty when the engine did not answer
   */
  record CacheListed(String engineId, long askedAtNanos, Optional<PlacedPrompt> parts)
      implements DispatchEvent {}

  /** This node is about to order an engine to change its stage. */
  record StageChangeBegun(StageChange change) implements DispatchEvent {}

  /** The order to change a stage was not sent, or the engine refused it. */
  record StageChangeAbandoned(StageChange change) implements DispatchEvent {}

  /** This node cannot carry out the duties of the leader, although another node may. */
  record CannotLead() implements DispatchEvent {}

  /** The usage of a window was reported, or never will be by this node. */
  record UsageDone(long window) implements DispatchEvent {}

  /** The number of engines by zone that a service had before any was ordered became known. */
  record InitialCountsKnown(String service, Map<String, Integer> byZone) implements DispatchEvent {}

  /** The store was restored from a copy and may lack rows that nodes have written. */
  record StoreRestored() implements DispatchEvent {}

  /** An order for engines ended: it was answered, or no answer came. */
  record ScaleOrderAnswered(ScaleOrder order, DutyOutcome outcome) implements DispatchEvent {}

  /** An order to change a stage was sent, and no answer came. */
  record StageOrderUnanswered(StageChange change) implements DispatchEvent {}

  /**
   * An engine that seemed to crash is gone: nothing listens at its address, or another engine or a
   * later incarnation does.
   */
  record EngineGone(String engineId) implements DispatchEvent {}

  /** A request content in quarantine or under suspicion was read from the store. */
  record QuarantineLoaded(QuarantineStore.StoredContent held) implements DispatchEvent {}

  /** The store saved a request content in quarantine. */
  record QuarantineStored(RequestFingerprint content) implements DispatchEvent {}

  /** The dispatch settings changed. */
  record ParametersChanged(DispatchParameters parameters) implements DispatchEvent {}

  /**
   * A probe of the link to an engine ended.
   *
   * @param reached whether the engine answered
   * @param askedNanos when the probe was sent
   */
  record PathProbed(LinkProbe probe, boolean reached, long askedNanos) implements DispatchEvent {}

  /** A message arrived from another node. */
  record PeerMessageReceived(PeerMessage message) implements DispatchEvent {}
}
