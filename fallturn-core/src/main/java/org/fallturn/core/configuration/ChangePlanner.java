package org.fallturn.core.configuration;

import org.fallturn.core.error.FallturnException;

/** Works out what a change would do to an image. Pure: it may be called more than once. */
@FunctionalInterface
public interface ChangePlanner {

  /**
   * The change against one image.
   *
   * @throws FallturnException when the change is not possible on this image; names the culprit
   */
  PlannedChange plan(ConfigurationImage image) throws FallturnException;
}
