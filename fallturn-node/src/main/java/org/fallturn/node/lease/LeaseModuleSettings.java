package org.fallturn.node.lease;

import java.time.Duration;
import org.fallturn.core.lease.LeaseParameters;

/**
 * Settings of {@link LeaseModule}.
 *
 * @param parameters times and counts of the lease protocol
 * @param orderTimeout how long an order or a fence may take
 * @param peerTimeout how long a question to a witness may take
 * @param statePollInterval how often the state of an engine that carries out an order is read
 * @param totalLoadSlots engines of the whole fleet that may load from the weight store at once
 */
public record LeaseModuleSettings(
    LeaseParameters parameters,
    Duration orderTimeout,
    Duration peerTimeout,
    Duration statePollInterval,
    int totalLoadSlots) {

  private static final Duration DEFAULT_STATE_POLL = Duration.ofMillis(500);
  private static final int DEFAULT_LOAD_SLOTS = 16;

  /** Everything that has no setting of its own at its default. */
  public static LeaseModuleSettings of(LeaseParameters parameters, Duration orderTimeout) {
    return new LeaseModuleSettings(
        parameters,
        orderTimeout,
        parameters.renewInterval().dividedBy(2),
        DEFAULT_STATE_POLL,
        DEFAULT_LOAD_SLOTS);
  }
}
