package org.fallturn.core.idempotency;

import java.util.Optional;
import org.fallturn.core.port.table.TableRow;

/** Writes claim rows as the table's JSON text and reads them back. */
public interface ClaimRowCodec {

  /** The text of a row. */
  String encode(ClaimRow row);

  /** The content of a row; empty when the row is absent. */
  Optional<ClaimRow> decode(TableRow row);
}
