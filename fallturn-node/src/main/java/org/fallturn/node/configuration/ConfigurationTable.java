package org.fallturn.node.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.HeadRow;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.json.MalformedMessageException;

/**
 * The accepted sequence in the table service: one head row, and one row a change. Blocks; only the
 * store duty calls it.
 */
final class ConfigurationTable {

  /** Table of the head row. */
  static final String HEAD_TABLE = "configuration_head";

  /** Table of the accepted changes, keyed by version with leading zeros. */
  static final String CHANGES_TABLE = "configuration_changes";

  private static final RowKey HEAD_KEY = new RowKey(HEAD_TABLE, "head");
  private static final int PAGE_ROWS = 100;

  private final TableService table;
  private final JsonCodec codec;

  ConfigurationTable(TableService table, JsonCodec codec) {
    this.table = table;
    this.codec = codec;
  }

  HeadRow readHead() throws StoreException {
    TableRow row = table.read(List.of(HEAD_KEY)).get(0);
    if (row.version() == TableRow.ABSENT) {
      return HeadRow.NONE;
    }
    return new HeadRow(row.version(), decode(row.value(), HeadValue.class).version());
  }

  /** Changes after one version and up to another, in order, without a gap. */
  List<ConfigurationDelta> readDeltas(long afterVersion, long upToVersion) throws StoreException {
    List<ConfigurationDelta> deltas = new ArrayList<>();
    long last = afterVersion;
    while (last < upToVersion) {
      int wanted = (int) Math.min(PAGE_ROWS, upToVersion - last);
      List<TableRow> page =
          table.scan(new ScanRequest(CHANGES_TABLE, changeKey(last).key(), wanted));
      if (page.isEmpty()) {
        throw new StoreException("change " + (last + 1) + " is missing in the table", false, null);
      }
      for (TableRow row : page) {
        ConfigurationDelta delta = decode(row.value(), ConfigurationDelta.class);
        if (delta.version() != last + 1) {
          throw new StoreException("a gap before change " + delta.version(), false, null);
        }
        deltas.add(delta);
        last = delta.version();
      }
    }
    return deltas;
  }

  /** Whether the change was committed on the given head. */
  boolean commit(HeadRow head, ConfigurationDelta delta) throws StoreException {
    String headValue = codec.encodeText(new HeadValue(delta.version(), delta.attemptId()));
    RowWrite moveHead = new RowWrite(HEAD_KEY, head.rowVersion(), headValue);
    RowWrite addChange =
        new RowWrite(changeKey(delta.version()), TableRow.ABSENT, codec.encodeText(delta));
    return table.transact(new TableTransaction(List.of(moveHead, addChange))).committed();
  }

  private static RowKey changeKey(long version) {
    return new RowKey(CHANGES_TABLE, String.format(Locale.ROOT, "%020d", version));
  }

  private <T> T decode(String value, Class<T> type) throws StoreException {
    try {
      return codec.decode(value, type);
    } catch (MalformedMessageException e) {
      throw new StoreException("a row cannot be read: " + e.getMessage(), false, e);
    }
  }

  /**
   * Value of the head row.
   *
   * @param version the newest accepted version
   * @param attemptId the attempt that moved the head there
   */
  record HeadValue(long version, String attemptId) {}
}
