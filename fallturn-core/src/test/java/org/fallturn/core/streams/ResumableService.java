package org.fallturn.core.streams;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.routing.EngineDirectory;
import org.fallturn.core.routing.EngineStage;
import org.fallturn.core.routing.RequestKind;
import org.fallturn.core.routing.RequestLimits;
import org.fallturn.core.routing.Route;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.routing.WeightedService;

/** A service whose streams may be continued, with one engine of each software version. */
final class ResumableService {

  static final String NAME = "llm";

  private ResumableService() {}

  /** The route to the service; its timeout is shorter than the least lifetime of a stream. */
  static RoutingImage routing() {
    Duration second = Duration.ofSeconds(1);
    Route route =
        new Route(
            "route",
            "host",
            "/",
            RequestKind.STREAMING,
            true,
            second,
            second,
            second,
            second,
            1,
            2,
            List.of(new WeightedService(NAME, 1)));
    return new RoutingImage(
        new StorePosition(1, 1), 1, List.of(route), List.of(), RequestLimits.defaults());
  }

  /** A directory that lists an engine of each of some versions. */
  static EngineDirectory directory(List<String> versions) {
    return EngineDirectory.of(1, versions.stream().map(ResumableService::engine).toList());
  }

  private static ServingEngine engine(String version) {
    return new ServingEngine(
        "d-" + version,
        OptionalLong.empty(),
        NAME,
        version,
        new NetworkAddress("10.0.0.1", 1),
        "zone-1",
        8,
        false,
        Optional.empty(),
        false,
        EngineStage.DECODE);
  }
}
