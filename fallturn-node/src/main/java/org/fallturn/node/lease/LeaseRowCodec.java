package org.fallturn.node.lease;

import java.util.Optional;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LeaseRecord;
import org.fallturn.core.lease.LeaseRow;
import org.fallturn.core.lease.LeaseWrite;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/** Translates between lease rows and rows of the table. Thread-safe. */
final class LeaseRowCodec {

  /** The table that holds one row a pool. */
  static final String TABLE = "lease";

  private final JsonCodec codec;

  LeaseRowCodec(JsonCodec codec) {
    this.codec = codec;
  }

  static RowKey key(PoolId pool) {
    return new RowKey(TABLE, pool.toString());
  }

  RowWrite encode(LeaseWrite write) {
    return new RowWrite(
        key(write.lease().pool()), write.expectedVersion(), codec.encodeText(write.lease()));
  }

  LeaseRow decode(TableRow row) throws MalformedMessageException {
    PoolId pool = PoolId.parse(row.key().key());
    if (row.version() == TableRow.ABSENT) {
      return new LeaseRow(pool, TableRow.ABSENT, Optional.empty());
    }
    LeaseRecord lease = codec.decode(row.value(), LeaseRecord.class);
    return new LeaseRow(pool, row.version(), Optional.of(lease));
  }
}
