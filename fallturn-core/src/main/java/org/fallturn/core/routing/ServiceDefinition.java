package org.fallturn.core.routing;

import java.util.Optional;

/**
 * A service as the operator defines it.
 *
 * @param name name of the service
 * @param maxConnections connections that one engine takes from all nodes together
 * @param engine what its model engines can hold; empty for an application service
 * @param scaling on which terms its engines may be ordered; empty where they may not
 */
public record ServiceDefinition(
    String name,
    int maxConnections,
    Optional<EngineProfile> engine,
    Optional<ScalingTerms> scaling) {

  /** A service whose engines cannot be ordered. */
  public ServiceDefinition(String name, int maxConnections, Optional<EngineProfile> engine) {
    this(name, maxConnections, engine, Optional.empty());
  }
}
