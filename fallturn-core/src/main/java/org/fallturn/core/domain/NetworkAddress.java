package org.fallturn.core.domain;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * IP number and port of a listening socket. Text form {@code host:port}.
 *
 * @param host IP number; names are not resolved
 * @param port 0 to 65535; 0 means "any free port" and occurs only in settings
 */
public record NetworkAddress(String host, int port) implements Comparable<NetworkAddress> {

  private static final int MAX_PORT = 65_535;

  /** Rejects a blank host and a port out of range. */
  public NetworkAddress {
    Identifiers.requireText(host, "host");
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port must be 0 to 65535, but is " + port);
    }
  }

  /** Reads the text form {@code host:port}. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static NetworkAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("address must be host:port, but is: " + text);
    }
    return new NetworkAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public int compareTo(NetworkAddress other) {
    return toString().compareTo(other.toString());
  }

  @Override
  @JsonValue
  public String toString() {
    return host + ":" + port;
  }

  /** As a record would, without the method handles whose making each start would pay. */
  @Override
  public boolean equals(Object other) {
    return other instanceof NetworkAddress that && port == that.port && host.equals(that.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }
}
