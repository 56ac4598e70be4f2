package org.fallturn.core.stages;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.fallturn.core.port.table.StoreException;

/**
 * The right of one node to give orders to engines and to make the calls to the platform that are
 * one node's at a time, kept by a conditional write in the store. One lease and one fencing token
 * serve all of them.
 *
 * <p>Invariants: at any moment at most one node may order; the fencing token of each taking is
 * above all earlier ones; between the last order of a node and the first of another lies at least
 * the quiet time. The term runs on the store's clock for everybody else and on this node's own for
 * itself, counted from before it asked for the store's clock, so that the node's view ends first.
 * Nothing is renewed: whoever wants to order again takes the lease again. Thread-safe; a taking
 * blocks the others that want it.
 */
public final class OrderLease {

  /** Ends a node's own view before the store's, for an order that is on its way. */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final OrderLeaseStore store;
  private final String node;
  private final Duration term;
  private final Duration quiet;
  private final LongSupplier nanoClock;
  private long token;
  private long validUntilNanos;

  /**
   * A lease that is not held.
   *
   * @param node name of this node
   * @param nanoClock this node's steady clock
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
   * Takes the lease unless another node has it, or had it until a short while ago. One that this
   * node has for at least half of its term still is good enough, which saves two calls.
   *
   * @return whether this node may order now
   * @throws StoreException when the store gave no usable answer; the lease is not held
   */
  public synchronized boolean take() throws StoreException {
    if (held() && validUntilNanos - nanoClock.getAsLong() >= term.toNanos() / 2) {
      return true;
    }
    drop();
    long askedNanos = nanoClock.getAsLong();
    OrderLeaseReading reading = store.read();
    if (!free(reading)) {
      return false;
    }
    long untilMillis = reading.storeMillis() + term.toMillis();
    OptionalLong written = store.write(new OrderLeaseRow(node, untilMillis), reading.version());
    if (written.isEmpty()) {
      return false;
    }
    token = written.getAsLong();
    validUntilNanos = askedNanos + term.toNanos() - MARGIN_NANOS;
    return held();
  }

  private boolean free(OrderLeaseReading reading) {
    return reading
        .row()
        .map(
            row ->
                row.holder().equals(node)
                    || reading.storeMillis() >= row.untilMillis() + quiet.toMillis())
        .orElse(true);
  }

  /** Whether this node may order; asked right before each order is sent. */
  public synchronized boolean held() {
    return token != 0 && nanoClock.getAsLong() - validUntilNanos < 0;
  }

  /** Number that goes with each order: engines refuse one that is lower than they have seen. */
  public synchronized long token() {
    return token;
  }

  /** Gives no order by this lease any more. */
  public synchronized void drop() {
    token = 0;
  }
}
