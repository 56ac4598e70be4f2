package org.fallturn.core.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.fallturn.core.domain.NetworkAddress;

/**
 * One incarnation of an engine or application back end, as its entry in the directory describes it.
 *
 * @param listedId id of its entry, by which it is addressed; an engine keeps it when it restarts
 * @param bornMillis Unix time of its start in milliseconds; empty when the entry does not say
 * @param service name of the service that it serves
 * @param softwareVersion version of its software, not of its weights; empty when the entry does not
 *     say
 * @param address address that it listens on
 * @param zone zone that it runs in
 * @param slots requests that it runs at once
 * @param leaving whether it is shutting down and takes no new requests
 * @param leavesIn time from the writing of the entry until the engine ends; empty when the entry
 *     announces no end
 * @param reclaimable whether it is on loan (a spot instance): cheaper, and may be taken away at
 *     short notice
 * @param stage the stage of requests that it currently runs
 */
public record ServingEngine(
    String listedId,
    OptionalLong bornMillis,
    String service,
    String softwareVersion,
    NetworkAddress address,
    String zone,
    int slots,
    boolean leaving,
    Optional<Duration> leavesIn,
    boolean reclaimable,
    EngineStage stage) {

  private static final String INCARNATION_SEPARATOR = "@";

  /** Creates an engine whose entry has none of the optional fields. */
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
        "",
        address,
        zone,
        slots,
        leaving,
        Optional.empty(),
        false,
        stage);
  }

  /**
   * Returns the id of this incarnation, under which nodes keep all state about the engine. It
   * differs from the id of an earlier incarnation with the same listed id, because an engine loses
   * all that it holds when it restarts.
   */
  public String id() {
    return bornMillis.isPresent()
        ? listedId + INCARNATION_SEPARATOR + bornMillis.getAsLong()
        : listedId;
  }

  /**
   * Returns whether an engine with the same listed id is a different incarnation. False when either
   * start time is unknown.
   *
   * @param otherBornMillis Unix time of the other's start in milliseconds, if known
   */
  public boolean isOtherIncarnation(OptionalLong otherBornMillis) {
    return bornMillis.isPresent()
        && otherBornMillis.isPresent()
        && bornMillis.getAsLong() != otherBornMillis.getAsLong();
  }

  /** Returns this engine marked as leaving. */
  public ServingEngine asLeaving() {
    return new ServingEngine(
        listedId,
        bornMillis,
        service,
        softwareVersion,
        address,
        zone,
        slots,
        true,
        leavesIn,
        reclaimable,
        stage);
  }
}
