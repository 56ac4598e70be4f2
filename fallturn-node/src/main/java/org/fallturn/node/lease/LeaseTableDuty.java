package org.fallturn.node.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.lease.LeaseAction;
import org.fallturn.core.lease.LeaseRow;
import org.fallturn.core.lease.LoadDemand;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;
import org.fallturn.node.duty.DutyHandler;
import org.fallturn.node.json.MalformedMessageException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Blocking traffic with the table on behalf of the lease duty. Every write is answered by exactly
 * one event: committed, conflict, no effect or unknown; nothing is guessed here.
 */
final class LeaseTableDuty implements DutyHandler<TableJob> {

  private static final Logger LOG = LoggerFactory.getLogger(LeaseTableDuty.class);
  private static final int SCAN_LIMIT = 1000;

  private final TableService table;
  private final LeaseRowCodec rowCodec;
  private final Consumer<LeaseEvent> answers;
  private final Consumer<Map<PoolId, LoadDemand>> demands;
  private boolean failing;

  /**
   * A duty for one table.
   *
   * @param answers where answers go; may wait for room, never drops
   * @param demands where scanned demands go
   */
  LeaseTableDuty(
      TableService table,
      LeaseRowCodec rowCodec,
      Consumer<LeaseEvent> answers,
      Consumer<Map<PoolId, LoadDemand>> demands) {
    this.table = table;
    this.rowCodec = rowCodec;
    this.answers = answers;
    this.demands = demands;
  }

  @Override
  public void onEvent(TableJob job) {
    if (job instanceof TableJob.Read read) {
      answers.accept(read(read.rows()));
    } else if (job instanceof TableJob.Write write) {
      answers.accept(write(write.rows()));
    } else {
      scan();
    }
  }

  private LeaseEvent read(LeaseAction.ReadRows action) {
    List<RowKey> keys = action.pools().stream().map(LeaseRowCodec::key).toList();
    try {
      List<LeaseRow> rows = decode(table.read(keys));
      reached();
      return new LeaseEvent.RowsRead(rows);
    } catch (StoreException e) {
      failed(e);
      return new LeaseEvent.ReadFailed();
    }
  }

  private LeaseEvent write(LeaseAction.WriteRows action) {
    TableTransaction transaction =
        new TableTransaction(action.writes().stream().map(rowCodec::encode).toList());
    try {
      TransactionAnswer answer = table.transact(transaction);
      reached();
      return answer.committed()
          ? new LeaseEvent.Committed(action.batch())
          : new LeaseEvent.Conflict(action.batch(), decode(answer.conflicts()));
    } catch (StoreException e) {
      failed(e);
      return e.mayHaveTakenEffect()
          ? new LeaseEvent.Unknown(action.batch())
          : new LeaseEvent.NoEffect(action.batch());
    }
  }

  private void scan() {
    try {
      Map<PoolId, LoadDemand> found = new HashMap<>();
      for (LeaseRow row :
          decode(table.scan(new ScanRequest(LeaseRowCodec.TABLE, "", SCAN_LIMIT)))) {
        row.lease().ifPresent(lease -> found.put(row.pool(), lease.loads()));
      }
      demands.accept(found);
    } catch (StoreException e) {
      failed(e);
    }
  }

  private List<LeaseRow> decode(List<TableRow> rows) {
    List<LeaseRow> decoded = new ArrayList<>();
    for (TableRow row : rows) {
      try {
        decoded.add(rowCodec.decode(row));
      } catch (MalformedMessageException e) {
        LOG.error("lease: Row {} cannot be read and is left alone.", row.key().key(), e);
      }
    }
    return decoded;
  }

  private void failed(StoreException cause) {
    if (!failing) {
      failing = true;
      LOG.warn("lease: The table cannot be reached. {}", cause.getMessage());
    }
  }

  private void reached() {
    if (failing) {
      failing = false;
      LOG.info("lease: The table can be reached again.");
    }
  }

  @Override
  public void onTick() {
    // Jobs come from the lease duty alone.
  }
}
