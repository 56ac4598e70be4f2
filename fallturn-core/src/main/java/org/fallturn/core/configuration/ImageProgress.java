package org.fallturn.core.configuration;

import java.util.List;

/**
 * The only two ways in which a node's image moves: by the change that is next, or to a whole image
 * that is newer. So its version never falls. Pure.
 */
public final class ImageProgress {

  private ImageProgress() {}

  /** The image after those of the changes that follow it, in order; others have no effect. */
  public static ConfigurationImage afterChanges(
      ConfigurationImage image, List<ConfigurationDelta> deltas) {
    ConfigurationImage next = image;
    for (ConfigurationDelta delta : deltas) {
      if (delta.version() == next.version() + 1) {
        next = next.apply(delta);
      }
    }
    return next;
  }

  /** The newer of the two; the present one when they are equally new. */
  public static ConfigurationImage newer(ConfigurationImage present, ConfigurationImage other) {
    return other.version() > present.version() ? other : present;
  }
}
