package org.fallturn.core.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableTransaction;

/**
 * Many claims in one transaction. The driver repeats: send {@link #next()}, tell how it ended,
 * until nothing is undecided. Not thread-safe.
 *
 * <p>Invariant: a claim is granted only when its own row was seen to be written, by a committed
 * transaction or by reading the attempt's id back.
 */
public final class ClaimBatch {

  private final ClaimRowCodec codec;
  private final Map<Claim, ClaimDecision> decisions = new LinkedHashMap<>();
  private final List<Claim> undecided;
  private final Map<RowKey, Long> versions = new HashMap<>();
  private Map<RowKey, Claim> sent = Map.of();

  /** A batch of claims, none decided. */
  public ClaimBatch(List<Claim> claims, ClaimRowCodec codec) {
    this.codec = codec;
    this.undecided = new ArrayList<>(claims);
  }

  /** The next transaction, with one claim a key; empty when all claims are decided. */
  public Optional<TableTransaction> next() {
    sent = new LinkedHashMap<>();
    List<RowWrite> writes = new ArrayList<>();
    for (Claim claim : undecided) {
      if (sent.putIfAbsent(claim.key(), claim) == null) {
        writes.add(
            new RowWrite(claim.key(), expectedVersion(claim.key()), codec.encode(claim.toRow())));
      }
    }
    return writes.isEmpty() ? Optional.empty() : Optional.of(new TableTransaction(writes));
  }

  /** The last transaction took effect: its claims are granted. */
  public void onCommitted() {
    for (Claim claim : sent.values()) {
      long version = expectedVersion(claim.key()) + 1;
      decide(claim, new ClaimDecision.Granted(version));
    }
  }

  /** Some rows were not as expected; nothing took effect. Or: rows read after a lost answer. */
  public void onRows(List<TableRow> rows, long nowMillis) {
    for (TableRow row : rows) {
      Optional<ClaimRow> found = codec.decode(row);
      keepVersionOfFreeRow(row, found);
      Claim claim = sent.get(row.key());
      if (claim != null) {
        ClaimRules.decide(claim, row, found, nowMillis)
            .ifPresent(decision -> decide(claim, decision));
      }
    }
  }

  /** Only a released row may be overwritten; any other must conflict with every claim. */
  private void keepVersionOfFreeRow(TableRow row, Optional<ClaimRow> found) {
    boolean released =
        found.map(content -> content.state() == ClaimRow.State.RELEASED).orElse(false);
    if (released) {
      versions.put(row.key(), row.version());
    } else {
      versions.remove(row.key());
    }
  }

  /** The rows to read after the answer to the last transaction was lost. */
  public List<RowKey> sentKeys() {
    return List.copyOf(sent.keySet());
  }

  /**
   * The table cannot be asked any more: what is undecided is refused.
   *
   * @return the refused claims that may have been written nevertheless
   */
  public List<Claim> giveUp(boolean lastMayHaveTakenEffect) {
    List<Claim> doubtful = lastMayHaveTakenEffect ? List.copyOf(sent.values()) : List.of();
    for (Claim claim : List.copyOf(undecided)) {
      decide(claim, new ClaimDecision.StoreUnavailable());
    }
    return doubtful;
  }

  /** The decisions so far. */
  public Map<Claim, ClaimDecision> decisions() {
    return decisions;
  }

  private void decide(Claim claim, ClaimDecision decision) {
    undecided.remove(claim);
    decisions.put(claim, decision);
  }

  private long expectedVersion(RowKey key) {
    return versions.getOrDefault(key, TableRow.ABSENT);
  }
}
