package org.fallturn.node.gateway;

import java.util.Map;
import java.util.Optional;
import org.fallturn.core.dispatch.AttemptOutcome;
import org.fallturn.core.dispatch.DispatchParameters;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.scaling.ScaleOrder;
import org.fallturn.core.stages.StageChange;
import org.fallturn.core.usage.DutyOutcome;

/** What the dispatch duty is told. */
sealed interface DispatchEvent {

  /** A request was read whole. */
  record Arrived(Exchange exchange) implements DispatchEvent {}

  /** An engine has read the prompt; its KV cache waits under the handle. */
  record Prefilled(Exchange exchange, EngineAttempt attempt, String handle)
      implements DispatchEvent {}

  /** The first part of the answer was passed on. */
  record Began(Exchange exchange, EngineAttempt attempt) implements DispatchEvent {}

  /** An attempt ended without a whole, good answer. */
  record AttemptFailed(Exchange exchange, EngineAttempt attempt, AttemptOutcome outcome)
      implements DispatchEvent {}

  /** The answer was passed on whole. */
  record Finished(Exchange exchange, EngineAttempt attempt) implements DispatchEvent {}

  /** The caller closed its connection. */
  record CallerGone(Exchange exchange) implements DispatchEvent {}

  /** The list of engines changed. */
  record DirectoryChanged(EngineDirectory directory) implements DispatchEvent {}

  /** Routes and services changed. */
  record RoutingChanged(RoutingImage image) implements DispatchEvent {}

  /** An engine said which parts it keeps; nothing when it did not answer. */
  record CacheListed(String engineId, long askedAtNanos, Optional<PlacedPrompt> parts)
      implements DispatchEvent {}

  /** An engine is about to be ordered to change its stage. */
  record StageChangeBegun(StageChange change) implements DispatchEvent {}

  /** The order was not given, or the engine refused it. */
  record StageChangeAbandoned(StageChange change) implements DispatchEvent {}

  /** This node cannot carry out the duties of the one that leads, though another may. */
  record CannotLead() implements DispatchEvent {}

  /** The usage of a window was reported. */
  record UsageReported(long window) implements DispatchEvent {}

  /** How many engines a service had by zone before any was ordered. */
  record BaselineKnown(String service, Map<String, Integer> byZone) implements DispatchEvent {}

  /** An order for engines was answered, or not. */
  record ScaleOrderAnswered(ScaleOrder order, DutyOutcome outcome) implements DispatchEvent {}

  /** The order was sent and got no answer. */
  record StageOrderUnanswered(StageChange change) implements DispatchEvent {}

  /** An engine that seemed to crash does not listen any more, or another has its address. */
  record EngineGone(String engineId) implements DispatchEvent {}

  /** The store holds a content in quarantine or under suspicion. */
  record QuarantineLoaded(QuarantineStore.Held held) implements DispatchEvent {}

  /** The store has taken a content in quarantine. */
  record QuarantineStored(RequestFingerprint content) implements DispatchEvent {}

  /** The settings changed. */
  record ParametersChanged(DispatchParameters parameters) implements DispatchEvent {}

  /** Another node told its load. */
  record PeerMessageReceived(PeerMessage message) implements DispatchEvent {}
}
