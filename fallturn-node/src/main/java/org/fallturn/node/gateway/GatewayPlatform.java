package org.fallturn.node.gateway;

import java.util.function.Predicate;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.RowFeed;
import org.fallturn.core.quarantine.QuarantineStore;
import org.fallturn.core.routing.RoutingImage;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.scaling.InitialCountsStore;
import org.fallturn.core.scaling.ScaleApi;
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
    ClientFactory<RowFeed> routingFeed,
    Predicate<FeedRow> isRouting,
    RowDecoder<RoutingImage> routingDecoder,
    ClientFactory<RowFeed> engineFeed,
    RowDecoder<ServingEngine> engineDecoder,
    ClientFactory<OrderLeaseStore> orderLease,
    ClientFactory<QuarantineStore> quarantine,
    ClientFactory<UsageStore> usage,
    ApiFactory<UsageApi> usageApi,
    ClientFactory<InitialCountsStore> standing,
    ApiFactory<ScaleApi> scaleApi,
    String readinessPath) {

  /**
   * Makes a way to the store, or to a part of it; the process has one HTTP client, since each costs
   * its start.
   *
   * @param <T> what is spoken there
   */
  @FunctionalInterface
  public interface ClientFactory<T> {

    /** A way that calls by a client that has been started. */
    T create(HttpClient client);
  }

  /**
   * Makes a way to the platform's API.
   *
   * @param <T> what is spoken there
   */
  @FunctionalInterface
  public interface ApiFactory<T> {

    /**
     * A way that calls by a client that has been started.
     *
     * @param address where the API listens
     */
    T create(HttpClient client, NetworkAddress address);
  }
}
