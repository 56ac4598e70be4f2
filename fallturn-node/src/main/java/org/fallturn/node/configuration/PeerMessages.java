package org.fallturn.node.configuration;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.ZoneName;

/** Messages among nodes about the configuration. */
final class PeerMessages {

  /** Path of {@link Push}. */
  static final String PUSH_PATH = "/peer/configuration/push";

  /** Path of {@link Fetch}. */
  static final String FETCH_PATH = "/peer/configuration/fetch";

  /** Path of {@link StatusRequest}. */
  static final String STATUS_PATH = "/peer/configuration/status";

  /** Path where a node tells its {@link Version}. */
  static final String VERSION_PATH = "/peer/configuration/version";

  private PeerMessages() {}

  /**
   * A version is accepted; pass it on.
   *
   * @param version the version
   * @param deltas the newest changes; empty when they are large and must be fetched
   * @param from peer address of the sender, which has the version in force
   * @param entersZone whether the receiver starts the push in its own zone
   */
  record Push(
      long version, List<ConfigurationDelta> deltas, NetworkAddress from, boolean entersZone) {}

  /**
   * The version a node has in force.
   *
   * @param version the version
   */
  record Version(long version) {}

  /**
   * What was accepted after a version?
   *
   * @param afterVersion the version the asking node has
   */
  record Fetch(long afterVersion) {}

  /**
   * Answer to {@link Fetch}.
   *
   * @param loaded whether the answering node knows the configuration at all
   * @param image the whole image, when the changes are no longer kept
   * @param deltas the changes in order, otherwise
   */
  record Fetched(
      boolean loaded, Optional<ConfigurationImage> image, List<ConfigurationDelta> deltas) {}

  /**
   * How many nodes of your zone have this version in force?
   *
   * @param version the version
   */
  record StatusRequest(long version) {}

  /**
   * Answer to {@link StatusRequest}.
   *
   * @param zone the zone
   * @param nodes its nodes that are not dead
   * @param laggards ids of those without the version
   */
  record ZoneStatus(ZoneName zone, int nodes, List<String> laggards) {}
}
