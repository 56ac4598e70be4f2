package org.fallturn.node.placement;

import java.util.List;
import org.fallturn.core.domain.PoolId;

/**
 * The answer to a {@link ProgressBatch}.
 *
 * @param led those of the asked pools that the node leads
 */
public record ProgressAnswer(List<PoolId> led) {
  /** A private copy of the list. */
  public ProgressAnswer {
    led = List.copyOf(led);
  }
}
