package org.fallturn.core.lease;

import java.util.List;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.PoolId;

/** What the lease state machine wants done; the node's duty threads do it. */
public sealed interface LeaseAction {

  /**
   * Read the rows of pools.
   *
   * @param pools the pools
   */
  record ReadRows(List<PoolId> pools) implements LeaseAction {
    /** A private copy of the pools. */
    public ReadRows {
      pools = List.copyOf(pools);
    }
  }

  /**
   * Write rows together or not at all.
   *
   * @param batch number that the answer must carry
   * @param writes the writes
   */
  record WriteRows(long batch, List<LeaseWrite> writes) implements LeaseAction {
    /** A private copy of the writes. */
    public WriteRows {
      writes = List.copyOf(writes);
    }
  }

  /**
   * Ask a witness to extend a lease.
   *
   * @param address the witness
   * @param request the question
   * @param askedNanos when it was asked; to be given back with the answer
   */
  record AskPromise(NetworkAddress address, PromiseRequest request, long askedNanos)
      implements LeaseAction {}

  /**
   * Ask a witness whether a lease may be taken over.
   *
   * @param address the witness
   * @param request the question
   */
  record AskConsent(NetworkAddress address, ConsentRequest request) implements LeaseAction {}

  /**
   * The leadership of a pool begins: fence its engines, read their state, then tell the listener.
   *
   * @param pool the pool
   * @param epoch the new epoch
   */
  record Begin(PoolId pool, Epoch epoch) implements LeaseAction {}

  /**
   * The leadership of a pool has ended.
   *
   * @param pool the pool
   * @param epoch the epoch that ended
   */
  record End(PoolId pool, Epoch epoch) implements LeaseAction {}
}
