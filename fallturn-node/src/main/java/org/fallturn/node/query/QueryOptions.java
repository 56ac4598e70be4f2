package org.fallturn.node.query;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What {@code fallturn query} was started with.
 *
 * @param address the operators' port of a node, with scheme {@code http} or {@code https}
 * @param key the operator's key
 * @param caFile PEM file of the certificate authority, for https; empty uses the system's
 * @param timeout how long to wait for the answer
 * @param waitInForce how long an accepted change waits to be in force everywhere
 * @param expectedVersion the version the operator has seen
 */
record QueryOptions(
    URI address,
    String key,
    Optional<String> caFile,
    Duration timeout,
    Duration waitInForce,
    OptionalLong expectedVersion) {

  @Override
  public String toString() {
    return "QueryOptions[" + address + "]";
  }
}
