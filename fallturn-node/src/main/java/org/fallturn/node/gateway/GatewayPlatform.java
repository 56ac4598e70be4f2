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
 * Adapters to the platform that a gateway runs on.
 *
 * @param callers header format of callers
 * @param engines protocol of engines
 * @param routingFeed table that holds the operator's configuration
 * @param isRouting whether a row of that table is the configuration
 * @param routingDecoder decodes that row
 * @param engineFeed table in which engines register themselves
 * @param engineDecoder decodes a row of that table
 * @param orderLease lease on the right to give orders to engines
 * @param quarantine persistent store of the request contents in quarantine
 * @param usage store of the request counts that the fleet has agreed to report
 * @param usageApi API to which usage is reported
 * @param initialCounts store of the number of engines that services had before any was ordered
 * @param scaleApi API that orders engines
 * @param readinessPath path at which the platform probes readiness
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
    ClientFactory<InitialCountsStore> initialCounts,
    ApiFactory<ScaleApi> scaleApi,
    String readinessPath) {

  /**
   * Creates a client of the store, or of a part of it, on top of a shared HTTP client. The process
   * has only one HTTP client, since starting each takes time.
   *
   * @param <T> type of the client
   */
  @FunctionalInterface
  public interface ClientFactory<T> {

    /**
     * Creates the client.
     *
     * @param client HTTP client to call with, already started
     */
    T create(HttpClient client);
  }

  /**
   * Creates a client of an API of the platform.
   *
   * @param <T> type of the client
   */
  @FunctionalInterface
  public interface ApiFactory<T> {

    /**
     * Creates the client.
     *
     * @param client HTTP client to call with, already started
     * @param address address that the API listens at
     */
    T create(HttpClient client, NetworkAddress address);
  }
}
