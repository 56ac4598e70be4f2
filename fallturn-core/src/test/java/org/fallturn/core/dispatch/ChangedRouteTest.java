package org.fallturn.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.fallturn.core.dispatch.Requests.APPLICATION;
import static org.fallturn.core.dispatch.Requests.START;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fallturn.core.error.Outcome;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.WeightedService;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is repeated under a route which may no longer be repeated: the
 * operator changed the route while the request was at an engine.
 */
class ChangedRouteTest {

  private static final String HOST = "host";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final Dispatcher dispatcher =
      Requests.dispatcher(
          Requests.engine("a-1", APPLICATION, EngineStage.NONE),
          Requests.engine("a-2", APPLICATION, EngineStage.NONE));

  private static Route route(String prefix, RequestKind kind) {
    return new Route(
        "route" + prefix,
        HOST,
        prefix,
        kind,
        false,
        TIMEOUT,
        TIMEOUT,
        Duration.ZERO,
        TIMEOUT,
        0,
        2,
        List.of(new WeightedService(APPLICATION, 1)));
  }

  private void putInForce(Route... routes) {
    dispatcher.setRouting(
        new RoutingImage(
            new StorePosition(1, 2), 2, List.of(routes), List.of(), RequestLimits.defaults()));
  }

  /** The request is at the path of the first route's prefix. */
  private Decision afterLoss(Route... changed) {
    Route first = route("/", RequestKind.IDEMPOTENT);
    putInForce(first);
    RequestProgress progress = Requests.progress(first, Optional.empty());
    dispatcher.start(progress, START);
    putInForce(changed);
    return dispatcher.onFailure(progress, AttemptOutcome.LOST, START + 1);
  }

  private static void assertOutcomeUnknown(Decision decision) {
    assertThat(((Decision.Refuse) decision).kind().outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN);
  }

  @Test
  void requestOfAnUnchangedRouteIsRepeated() {
    assertThat(afterLoss(route("/", RequestKind.IDEMPOTENT))).isInstanceOf(Decision.Run.class);
  }

  @Test
  void requestIsNotRepeatedOnceItsRouteMayNotBe() {
    assertOutcomeUnknown(afterLoss(route("/", RequestKind.NON_IDEMPOTENT)));
  }

  @Test
  void requestIsNotRepeatedOnceALongerRouteThatMayNotBeMatchesIt() {
    Route first = route("/a/", RequestKind.IDEMPOTENT);
    putInForce(route("/", RequestKind.IDEMPOTENT));
    RequestProgress progress = Requests.progress(first, Optional.empty());
    dispatcher.start(progress, START);
    putInForce(route("/", RequestKind.IDEMPOTENT), route("/a/", RequestKind.NON_IDEMPOTENT));
    assertOutcomeUnknown(dispatcher.onFailure(progress, AttemptOutcome.LOST, START + 1));
  }
}
