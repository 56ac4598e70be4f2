package org.fallturn.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.Tenant;
import org.fallturn.core.routing.WeightedService;
import org.fallturn.core.streams.KnownOrigin;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamTracker;

/**
 * Binds a request that continues a stream to the software version that began it, and records at
 * which version streams begin.
 *
 * <p>Invariant: a request that continues a stream is sent to no engine before the version is known.
 * Only the dispatch thread calls.
 */
public final class ResumedStreams {

  /** Time in which nodes that report to each other directly hear of a stream. */
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time for the store to confirm the list of engines, other such readings before it included. */
  private static final long CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final double NANOS_PER_MILLI = 1e6;

  private final StreamTracker tracker = new StreamTracker();
  private final EngineSelector selector;
  private final Refusals refusals;

  ResumedStreams(EngineSelector selector, Refusals refusals) {
    this.selector = selector;
    this.refusals = refusals;
  }

  /**
   * At which software versions streams began; whoever receives the reports of other nodes adds
   * them.
   */
  public StreamTracker tracker() {
    return tracker;
  }

  /**
   * Whether the version that began the stream may still become known: a report may be under way, or
   * the confirmation of the list of engines. Callers come back within milliseconds after a node has
   * ended, and a report that goes by relays takes longer.
   */
  public boolean awaitsOrigin(RequestProgress progress, long nowNanos) {
    if (progress.envelope().resumed().isEmpty() || origin(progress, nowNanos).isPresent()) {
      return false;
    }
    double longest = REPORT_NANOS + 2 * selector.lagMillis(nowNanos) * NANOS_PER_MILLI;
    if (lacksConfirmation(progress, nowNanos)) {
      longest = Math.max(longest, CONFIRMATION_NANOS);
    }
    return nowNanos - progress.envelope().arrivedNanos() < longest;
  }

  /**
   * Whether the list of engines has to be confirmed before the version is known that began the
   * stream.
   */
  public boolean lacksConfirmation(RequestProgress progress, long nowNanos) {
    return progress.envelope().resumed().isPresent()
        && tracker.lacksConfirmation(
            key(progress), services(progress), progress.envelope().arrivedNanos(), nowNanos);
  }

  /**
   * Binds a request that continues a stream; does nothing with any other.
   *
   * @return the refusal, if the version that began the stream is not known
   */
  Optional<Decision> bind(RequestProgress progress, long nowNanos) {
    if (progress.envelope().resumed().isEmpty()) {
      return Optional.empty();
    }
    Optional<KnownOrigin> origin = origin(progress, nowNanos);
    if (origin.isEmpty()) {
      return Optional.of(
          lacksConfirmation(progress, nowNanos)
              ? refusals.enginesUnconfirmed(progress)
              : refusals.originUnknown(progress));
    }
    progress.chooseService(origin.get().origin().service());
    progress.resumeFrom(origin.get());
    return Optional.empty();
  }

  private Optional<KnownOrigin> origin(RequestProgress progress, long nowNanos) {
    return tracker.find(
        key(progress), services(progress), progress.envelope().arrivedNanos(), nowNanos);
  }

  private static List<String> services(RequestProgress progress) {
    Route route = progress.envelope().route();
    return route.services().stream().map(WeightedService::service).toList();
  }

  private static Optional<Long> key(RequestProgress progress) {
    return progress
        .envelope()
        .resumed()
        .flatMap(ResumedStream::firstAttemptId)
        .map(id -> key(progress, id));
  }

  private static long key(RequestProgress progress, String requestId) {
    String tenant = progress.envelope().caller().tenant().map(Tenant::name).orElse("");
    return StreamOrigin.key(tenant, requestId);
  }

  /**
   * Records that a stream has begun or goes on. Not earlier: a request may move to another version
   * before its first event, and a node that knows only the first report would be wrong.
   */
  void onBegan(RequestProgress progress, long nowNanos) {
    RequestEnvelope envelope = progress.envelope();
    if (progress.requiredVersion().isEmpty() || !envelope.route().repeatable()) {
      return;
    }
    String began =
        envelope.resumed().flatMap(ResumedStream::firstAttemptId).orElse(envelope.requestId());
    tracker.onBegan(
        new StreamOrigin(
            key(progress, began), progress.service(), progress.requiredVersion().get()),
        nowNanos);
  }

  /** Whether a stream that has begun has no engine now that could continue it. */
  boolean lacksEngine(RequestProgress progress, long nowNanos) {
    return progress.requiredVersion().isPresent()
        && selector.runCandidates(progress, nowNanos).isEmpty();
  }

  /**
   * Whether the version that began the stream of a request has no engine left, so that no later
   * attempt to continue it can succeed.
   */
  boolean isVersionGone(RequestProgress progress) {
    return progress.possibleRuns() == 0
        && progress.requiredVersion().isPresent()
        && selector.listed(progress.service()).stream()
            .noneMatch(engine -> !engine.leaving() && progress.allowsVersionOf(engine));
  }
}
