package org.fallturn.core.stages;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import org.fallturn.core.port.feed.StoreEra;
import org.fallturn.core.port.feed.StorePosition;
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
 * give further orders takes it again.
 *
 * <p>A store that was restored from a copy may have lost the row of a lease that is still held. So
 * the lease is not taken over a row of an earlier era, or over none, before a term and the quiet
 * time have passed: since this node first saw the row, which may be a late write of an earlier era
 * over the row of the present holder, or since it has known the present era. Fencing tokens contain
 * the era, since versions are issued again. Holders pass on in the row by when the era had begun,
 * so that a node knows how long it has lasted that started later.
 *
 * <p>Thread-safe; while one thread takes the lease, others that want it block.
 */
public final class OrderLease {

  /**
   * Ends the holder's view earlier than the store's, to cover an order that is still in transit.
   */
  private static final long MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Bits of a fencing token for the version. With a few thousand eras, tokens stay below 2^53, up
   * to which every reader of JSON numbers is exact.
   */
  private static final int VERSION_BITS = 40;

  /**
   * A node that starts with the whole system and reaches the store within this time takes its era
   * for the first one. Later, the store may have been restored since the others reached it.
   */
  private static final long FIRST_CONTACT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final OrderLeaseStore store;
  private final String node;
  private final Duration term;
  private final Duration quiet;
  private final boolean firstStart;
  private final LongSupplier nanoClock;
  private final long startedNanos;
  private final AtomicReference<KnownEra> knownEra = new AtomicReference<>(KnownEra.NONE);
  private StorePosition earlierRow = StorePosition.NONE;
  private long earlierRowSinceNanos;
  private long token;
  private long validUntilNanos;

  /** The latest era that this node has seen, and since when. */
  private record KnownEra(long era, long sinceNanos) {

    /** Lower than every era, since the first one of a store may be 0. */
    static final KnownEra NONE = new KnownEra(-1, 0);

    /** Returns this era, which had begun by an earlier time if it is the one with a number. */
    KnownEra begunBy(long number, long nanos) {
      return number == era && nanos - sinceNanos < 0 ? new KnownEra(era, nanos) : this;
    }
  }

  /**
   * Creates a lease that is not held.
   *
   * @param store the store with the row
   * @param node name of this node
   * @param parameters term and quiet time
   * @param firstStart whether the whole system starts for the first time, so that no lease was held
   *     before
   * @param nanoClock steady clock of this node
   */
  public OrderLease(
      OrderLeaseStore store,
      String node,
      StageParameters parameters,
      boolean firstStart,
      LongSupplier nanoClock) {
    this.store = store;
    this.firstStart = firstStart;
    this.node = node;
    this.term = parameters.leaseTerm();
    this.quiet = parameters.leaseQuiet();
    this.nanoClock = nanoClock;
    this.startedNanos = nanoClock.getAsLong();
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
    long era = reading.position().era();
    onEra(era);
    onEraOfRow(reading);
    if (!isFree(reading)) {
      return false;
    }
    long untilMillis = reading.storeMillis() + term.toMillis();
    Optional<StorePosition> written =
        store.write(
            new OrderLeaseRow(node, untilMillis, era, eraSinceMillis(reading, requestedNanos)),
            reading.position().version());
    if (written.isEmpty() || written.get().era() != era) {
      return false;
    }
    token = tokenOf(written.get());
    validUntilNanos = requestedNanos + term.toNanos() - MARGIN_NANOS;
    return held();
  }

  /** Takes over from the row of a holder by when the present era had begun. */
  private void onEraOfRow(OrderLeaseReading reading) {
    long nowNanos = nanoClock.getAsLong();
    reading
        .row()
        .filter(row -> row.era() == reading.position().era() && row.eraSinceMillis().isPresent())
        .ifPresent(
            row -> {
              long ageMillis = reading.storeMillis() - row.eraSinceMillis().getAsLong();
              long sinceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
              knownEra.getAndUpdate(known -> known.begunBy(row.era(), sinceNanos));
            });
  }

  /**
   * Returns by when the era had begun on the store's clock, which was read after the request: the
   * time is too late rather than too early.
   */
  private OptionalLong eraSinceMillis(OrderLeaseReading reading, long requestedNanos) {
    KnownEra known = knownEra.get();
    if (known.era() == 0 || known.era() != reading.position().era()) {
      return OptionalLong.empty();
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(requestedNanos - known.sinceNanos());
    return OptionalLong.of(reading.storeMillis() - ageMillis);
  }

  /**
   * Returns the present era of the store, as of the last answer or message that named one; a
   * negative number before the first one.
   */
  public StoreEra era() {
    KnownEra known = knownEra.get();
    boolean unknown = known == KnownEra.NONE;
    long ageNanos = unknown ? 0 : Math.max(0, nanoClock.getAsLong() - known.sinceNanos());
    return new StoreEra(known.era(), Duration.ofNanos(ageNanos));
  }

  private static long tokenOf(StorePosition written) {
    return (written.era() << VERSION_BITS) + written.version();
  }

  /**
   * Handles the era of the store that this node or another has seen. A lease of an earlier one is
   * no longer held.
   */
  public void onEra(long era) {
    long nowNanos = nanoClock.getAsLong();
    long longAgoNanos = nowNanos - StoreEra.LONG_AGO.toNanos();
    knownEra.getAndUpdate(
        known -> {
          boolean nothingBefore =
              firstStart
                  && known == KnownEra.NONE
                  && nowNanos - startedNanos <= FIRST_CONTACT_NANOS;
          return era > known.era()
              ? new KnownEra(era, nothingBefore ? longAgoNanos : nowNanos)
              : known;
        });
  }

  private boolean isFree(OrderLeaseReading reading) {
    if (reading.row().isEmpty()) {
      return lostLeasesHaveEnded(reading.position().era(), knownEra.get().sinceNanos());
    }
    OrderLeaseRow row = reading.row().get();
    return hasEnded(row, reading.storeMillis())
        && (row.era() == reading.position().era()
            || lostLeasesHaveEnded(reading.position().era(), firstSeenNanos(reading.position())));
  }

  /** Returns since when this node has seen the row of an earlier era that was written there. */
  private long firstSeenNanos(StorePosition written) {
    if (!written.equals(earlierRow)) {
      earlierRow = written;
      earlierRowSinceNanos = nanoClock.getAsLong();
    }
    return earlierRowSinceNanos;
  }

  private boolean hasEnded(OrderLeaseRow row, long storeMillis) {
    return row.holder().equals(node) || storeMillis >= row.untilMillis() + quiet.toMillis();
  }

  /**
   * Returns whether all leases have ended of which the store had no row at a time; a store that
   * names no era loses none.
   */
  private boolean lostLeasesHaveEnded(long era, long sinceNanos) {
    return era == 0 || nanoClock.getAsLong() - sinceNanos >= term.plus(quiet).toNanos();
  }

  /** Returns whether this node may give orders; checked right before each order is sent. */
  public synchronized boolean held() {
    boolean ofThisEra = token >> VERSION_BITS >= knownEra.get().era();
    return token != 0 && ofThisEra && nanoClock.getAsLong() - validUntilNanos < 0;
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
