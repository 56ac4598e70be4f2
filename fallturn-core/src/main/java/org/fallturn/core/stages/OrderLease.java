package org.fallturn.core.stages;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fallturn.core.port.table.StoreException;

/**
 * Lease that lets one node at a time give orders to engines and make the exclusive calls to the
 * platform. It is a row in the store, taken by a conditional write. One lease and one fencing token
 * serve all of these orders and calls.
 *
 * <p>Invariants: at any moment at most one node may give orders; each time the lease is taken, its
 * fencing token is higher than all earlier ones; between the last order of one node and the first
 * order of another at least the quiet time passes. For other nodes the term runs on the store's
 * clock. For the holder it runs on its own clock, starting before the holder read the store's
 * clock, so that the holder's view ends first. The lease is never renewed: a node that wants to
 * give further orders takes it again. Thread-safe; while one thread takes the lease, others that
 * want it block.
 */
public final class OrderLease {

  /**
   * Ends the holder's view earlier than the store's, to cover an order that is still in transit.
   */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final OrderLeaseStore store;
  private final String node;
  private final Duration term;
  private final Duration quiet;
  private final LongSupplier nanoClock;
  private long token;
  private long validUntilNanos;

  /**
   * Creates a lease that is not held.
   *
   * @param store the store with the row
   * @param node name of this node
   * @param parameters term and quiet time
   * @param nanoClock steady clock of this node
   */
  public OrderLease(
      OrderLeaseStore store, String node, StageParameters parameters, LongSupplier nanoClock) {
    this.store = store;
    this.node = node;
    this.term = parameters.leaseTerm();
    this.quiet = parameters.leaseQuiet();
    this.nanoClock = nanoClock;
  }

  /**
   * Takes the lease unless another node holds it or held it within the quiet time. If this node
   * holds it and at least half of the term remains, it keeps the lease, which saves two calls to
   * the store.
   *
   * @return whether this node may give orders now
   * @throws StoreException when the store gave no usable answer; the lease is not held
   */
  public synchronized boolean take() throws StoreException {
    if (held() && validUntilNanos - nanoClock.getAsLong() >= term.toNanos() / 2) {
      return true;
    }
    drop();
    long requestedNanos = nanoClock.getAsLong();
    OrderLeaseReading reading = store.read();
    if (!isFree(reading)) {
      return false;
    }
    long untilMillis = reading.storeMillis() + term.toMillis();
    OptionalLong written = store.write(new OrderLeaseRow(node, untilMillis), reading.version());
    if (written.isEmpty()) {
      return false;
    }
    token = written.getAsLong();
    validUntilNanos = requestedNanos + term.toNanos() - MARGIN_NANOS;
    return held();
  }

  private boolean isFree(OrderLeaseReading reading) {
    return reading
        .row()
        .map(
            row ->
                row.holder().equals(node)
                    || reading.storeMillis() >= row.untilMillis() + quiet.toMillis())
        .orElse(true);
  }

  /** Returns whether this node may give orders; checked right before each order is sent. */
  public synchronized boolean held() {
    return token != 0 && nanoClock.getAsLong() - validUntilNanos < 0;
  }

  /**
   * Returns the fencing token of each order: engines refuse an order with a lower token than they
   * have seen.
   */
  public synchronized long token() {
    return token;
  }

  /**
   * Ends the lease for this node: no further order is given under it. The row in the store is left
   * as it is.
   */
  public synchronized void drop() {
    token = 0;
  }
}
