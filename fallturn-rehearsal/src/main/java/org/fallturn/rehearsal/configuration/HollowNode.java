package org.fallturn.rehearsal.configuration;

import org.eclipse.jetty.server.NetworkConnector;
import org.eclipse.jetty.server.ServerConnector;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.membership.Member;
import org.fallturn.node.configuration.ConfigurationModule;
import org.fallturn.node.configuration.LocalNode;
import org.fallturn.node.http.HttpRouter;

/** One node of a {@link HollowFleet}. */
final class HollowNode {

  private static final RegionName REGION = new RegionName("region");

  private final NodeId id;
  private final ZoneName zone;
  private final ServerConnector connector;
  private final HollowFleet fleet;
  private final HttpRouter router;
  private ConfigurationModule module;
  private boolean dead;

  HollowNode(String name, ZoneName zone, ServerConnector connector, HollowFleet fleet) {
    this.id = new NodeId(name);
    this.zone = zone;
    this.connector = connector;
    this.fleet = fleet;
    this.router = new HttpRouter(fleet.codec());
  }

  /** Builds the configuration, once the port is bound. */
  void listen() {
    LocalNode self = new LocalNode(id, zone, address());
    module =
        new ConfigurationModule(
            fleet.options(),
            fleet.nodesSeenBy(self),
            fleet.table(),
            fleet.objectStore(),
            fleet.client(),
            fleet.codec());
    module.addRoutes(router);
  }

  void start() {
    module.start();
  }

  /** Ends it, while the others still count it among the living. */
  void kill() throws Exception {
    dead = true;
    connector.stop();
    module.close();
  }

  boolean isDead() {
    return dead;
  }

  NodeId id() {
    return id;
  }

  HttpRouter router() {
    return router;
  }

  NetworkConnector connector() {
    return connector;
  }

  ConfigurationModule module() {
    return module;
  }

  Member asMember() {
    return new Member(
        id, REGION, zone, address(), address(), 1, Member.State.ALIVE, module.version());
  }

  private NetworkAddress address() {
    return new NetworkAddress(connector.getHost(), connector.getLocalPort());
  }

  void close() {
    if (!dead) {
      module.close();
    }
  }
}
