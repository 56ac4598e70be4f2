package org.fallturn.node.idempotency;

import java.util.Optional;
import org.fallturn.core.idempotency.ClaimRow;
import org.fallturn.core.idempotency.ClaimRowCodec;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/** Claim rows as JSON. Thread-safe. */
public final class JsonClaimRowCodec implements ClaimRowCodec {

  private final JsonCodec codec;

  /** Uses the node's codec. */
  public JsonClaimRowCodec(JsonCodec codec) {
    this.codec = codec;
  }

  @Override
  public String encode(ClaimRow row) {
    return codec.encodeText(row);
  }

  @Override
  public Optional<ClaimRow> decode(TableRow row) {
    if (row.version() == TableRow.ABSENT) {
      return Optional.empty();
    }
    try {
      return Optional.of(codec.decode(row.value(), ClaimRow.class));
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("claim row " + row.key().key() + " cannot be read", e);
    }
  }
}
