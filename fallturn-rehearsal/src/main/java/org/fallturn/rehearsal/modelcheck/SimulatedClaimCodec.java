package org.fallturn.rehearsal.modelcheck;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.idempotency.ClaimRowCodec;
import org.fallturn.core.port.table.TableRow;

/** Keeps claim rows aside and writes their numbers into the table. */
final class SimulatedClaimCodec implements ClaimRowCodec {

  private final Map<String, ClaimRow> rows = new HashMap<>();

  @Override
  public String encode(ClaimRow row) {
    String text = "claim-" + rows.size();
    rows.put(text, row);
    return text;
  }

  @Override
  public Optional<ClaimRow> decode(TableRow row) {
    return row.version() == TableRow.ABSENT ? Optional.empty() : Optional.of(rows.get(row.value()));
  }
}
