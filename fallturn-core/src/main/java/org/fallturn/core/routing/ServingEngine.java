package org.fallturn.core.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One incarnation of an engine or application back end as the directory tells it.
 *
 * @param listedId the name it is listed under and addressed by; an engine may start again under it
 * @param bornMillis the Unix time of its start, where it tells
 * @param service the service it serves
 * @param address where it listens
 * @param zone zone it stands in
 * @param slots requests it runs at once
 * @param leaving whether it takes nothing new
 * @param leavesIn how long after that was written it ends, where it tells
 * @param reclaimable whether it is on loan at a lower price and may be taken away soon
 * @param stage its present part
 */
public record ServingEngine(
    String listedId,
    OptionalLong bornMillis,
    String service,
    NetworkAddress address,
    String zone,
    int slots,
    boolean leaving,
    Optional<Duration> leavesIn,
    boolean reclaimable,
    EngineStage stage) {

  private static final String INCARNATION = "@";

  /** An engine that tells neither when it started nor how it is paid. */
  public ServingEngine(
      String id,
      String service,
      NetworkAddress address,
      String zone,
      int slots,
      boolean leaving,
      EngineStage stage) {
    this(
        id,
        OptionalLong.empty(),
        service,
        address,
        zone,
        slots,
        leaving,
        Optional.empty(),
        false,
        stage);
  }

  /**
   * What everything that is believed of an engine is kept by: other than that of the engine which
   * had the same listed id before, since a restart loses all that an engine held.
   */
  public String id() {
    return bornMillis.isPresent() ? listedId + INCARNATION + bornMillis.getAsLong() : listedId;
  }

  /** Whether something that says when it started is another incarnation. */
  public boolean isOtherIncarnation(OptionalLong otherBornMillis) {
    return bornMillis.isPresent()
        && otherBornMillis.isPresent()
        && bornMillis.getAsLong() != otherBornMillis.getAsLong();
  }

  /** The same engine, which takes nothing new. */
  public ServingEngine asLeaving() {
    return new ServingEngine(
        listedId, bornMillis, service, address, zone, slots, true, leavesIn, reclaimable, stage);
  }
}
