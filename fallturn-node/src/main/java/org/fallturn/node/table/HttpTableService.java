package org.fallturn.node.table;

import java.time.Duration;
import java.util.List;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.table.ReadRequest;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowList;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;

/**
 * The table service over its published HTTP protocol. Each call blocks for the timeout at most and
 * is sent exactly once: repeating is for the caller to decide. Thread-safe.
 */
public final class HttpTableService implements TableService {

  private static final String READ_PATH = "/v1/table/read";
  private static final String SCAN_PATH = "/v1/table/scan";
  private static final String TRANSACT_PATH = "/v1/table/transact";

  private final JsonHttpClient client;
  private final NetworkAddress address;
  private final Duration timeout;

  /**
   * An adapter that connects when it is first used.
   *
   * @param client sends the calls
   * @param address the platform's address
   * @param timeout bound on each call
   */
  public HttpTableService(JsonHttpClient client, NetworkAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  @Override
  public List<TableRow> read(List<RowKey> keys) throws StoreException {
    return call(READ_PATH, new ReadRequest(keys), RowList.class).rows();
  }

  @Override
  public List<TableRow> scan(ScanRequest request) throws StoreException {
    return call(SCAN_PATH, request, RowList.class).rows();
  }

  @Override
  public TransactionAnswer transact(TableTransaction transaction) throws StoreException {
    return call(TRANSACT_PATH, transaction, TransactionAnswer.class);
  }

  private <A> A call(String path, Object body, Class<A> answerType) throws StoreException {
    try {
      return JsonHttpClient.await(client.post(address, path, body, answerType, timeout));
    } catch (RemoteCallException e) {
      throw StoreFailures.of(path, e);
    }
  }
}
