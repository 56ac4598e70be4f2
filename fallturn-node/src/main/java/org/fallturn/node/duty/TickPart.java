package org.fallturn.node.duty;

import java.time.Duration;
import java.util.function.LongConsumer;

/**
 * A part of a duty's periodic work that nothing waits for. A fault in it neither keeps the other
 * parts from running nor ends the duty, unless it is an {@link Error}: the same input may make the
 * same part fail at every node, and again after a restart. The part itself pauses then, as long as
 * {@link FaultPolicy} says.
 *
 * @param name name of the part, which follows that of its duty where a fault is reported
 * @param interval the shortest time from one run to the next; zero to run at each tick
 * @param work called with the present time, in nanoTime
 */
public record TickPart(String name, Duration interval, LongConsumer work) {

  /** Creates a part that runs at each tick. */
  public TickPart(String name, LongConsumer work) {
    this(name, Duration.ZERO, work);
  }
}
