package org.fallturn.node.gateway;

import java.util.function.Predicate;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.scaling.ScaleApi;
import org.fallturn.core.scaling.StandingStore;
import org.fallturn.core.stages.OrderLeaseStore;
import org.fallturn.core.usage.UsageApi;
import org.fallturn.core.usage.UsageStore;

/**
 * Everything that a gateway takes from the platform it runs on.
 *
 * @param callers what callers speak
 * @param engines what engines speak
 * @param routingFeed the table that holds the operator's configuration
 * @param isRouting which of its rows is the configuration
 * @param routingDecoder reads that row
 * @param engineFeed the table in which engines keep themselves
 * @param engineDecoder reads one of its rows
 * @param orderLease the row that says who may give orders to engines
 * @param quarantine the contents in quarantine that outlast every process
 * @param usage the counts of requests that the fleet has agreed to report
 * @param usageApi where they are reported
 * @param standing how many engines services had before any was ordered
 * @param scaleApi where engines are ordered
 * @param readinessPath path at which the platform asks for readiness
 */
public record GatewayPlatform(
    CallerProtocol callers,
    EngineProtocol engines,
    FeedFactory routingFeed,
    Predicate<FeedRow> isRouting,
    RowDecoder<RoutingImage> routingDecoder,
    FeedFactory engineFeed,
    RowDecoder<ServingEngine> engineDecoder,
    LeaseFactory orderLease,
    QuarantineFactory quarantine,
    UsageStoreFactory usage,
    UsageApiFactory usageApi,
    StandingStoreFactory standing,
    ScaleApiFactory scaleApi,
    String readinessPath) {

  /** Makes the way to the row of the lease on orders. */
  @FunctionalInterface
  public interface LeaseFactory {

    /** A way that calls by a client that has been started. */
    OrderLeaseStore create(HttpClient client);
  }

  /** Makes the way to the contents in quarantine. */
  @FunctionalInterface
  public interface QuarantineFactory {

    /** A way that calls by a client that has been started. */
    QuarantineStore create(HttpClient client);
  }

  /** Makes the way to the counts that are to be reported. */
  @FunctionalInterface
  public interface UsageStoreFactory {

    /** A way that calls by a client that has been started. */
    UsageStore create(HttpClient client);
  }

  /** Makes the way to the numbers of engines before any order. */
  @FunctionalInterface
  public interface StandingStoreFactory {

    /** A way that calls by a client that has been started. */
    StandingStore create(HttpClient client);
  }

  /** Makes the way to the platform's API for orders of engines. */
  @FunctionalInterface
  public interface ScaleApiFactory {

    /**
     * A way that calls by a client that has been started.
     *
     * @param address where the API listens
     */
    ScaleApi create(HttpClient client, NetworkAddress address);
  }

  /** Makes the way to the platform's API for usage reports. */
  @FunctionalInterface
  public interface UsageApiFactory {

    /**
     * A way that calls by a client that has been started.
     *
     * @param address where the API listens
     */
    UsageApi create(HttpClient client, NetworkAddress address);
  }

  /** Makes the feed of a table; the process has one HTTP client, since each costs its start. */
  @FunctionalInterface
  public interface FeedFactory {

    /** A feed that calls by a client that has been started. */
    RowFeed create(HttpClient client);
  }
}
