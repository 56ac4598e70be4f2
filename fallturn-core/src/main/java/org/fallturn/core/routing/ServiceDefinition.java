package org.fallturn.core.routing;

import java.util.Optional;

/**
 * The configuration of a service.
 *
 * @param name name of the service
 * @param maxConnections the most connections that one engine accepts from all nodes together
 * @param engine capacity of each of its model engines; empty for an application service
 * @param scaling limits and prices for ordering engines; empty when none may be ordered
 */
public record ServiceDefinition(
    String name,
    int maxConnections,
    Optional<EngineProfile> engine,
    Optional<ScalingTerms> scaling) {

  /** Creates a service whose engines cannot be ordered. */
  public ServiceDefinition(String name, int maxConnections, Optional<EngineProfile> engine) {
    this(name, maxConnections, engine, Optional.empty());
  }
}
