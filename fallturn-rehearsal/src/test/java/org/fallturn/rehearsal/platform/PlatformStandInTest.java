package org.fallturn.rehearsal.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowList;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.ScanRequest;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.core.port.table.TransactionAnswer;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.http.RemoteCallException;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformStandInTest {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final RowKey ROW = new RowKey("leases", "a");
  private static final RowKey OTHER = new RowKey("leases", "b");

  private PlatformStandIn platform;
  private HttpClient http;
  private JsonHttpClient client;

  @BeforeEach
  void start() throws Exception {
    platform = new PlatformStandIn(PlatformSettings.defaults()).start();
    http = new HttpClient();
    http.start();
    client = new JsonHttpClient(http, new JsonCodec());
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
    platform.close();
  }

  @Test
  void transactionWithOneConflictHasNoEffect() throws Exception {
    transact(new RowWrite(ROW, 0, "1"));
    TransactionAnswer answer = transact(new RowWrite(OTHER, 0, "2"), new RowWrite(ROW, 0, "3"));
    assertThat(answer.committed()).isFalse();
    assertThat(answer.conflicts())
        .singleElement()
        .satisfies(row -> assertThat(row.version()).isOne());
    RowList rows = post("/v1/table/scan", new ScanRequest("leases", "", 10), RowList.class);
    assertThat(rows.rows()).extracting(row -> row.value()).containsExactly("1");
  }

  @Test
  void deletedRowNeverRepeatsAVersion() throws Exception {
    transact(new RowWrite(ROW, 0, "1"));
    transact(new RowWrite(ROW, 1, null));
    transact(new RowWrite(ROW, 0, "2"));
    assertThat(platform.table().read(List.of(ROW)).get(0).version()).isEqualTo(3);
  }

  @Test
  void lostAnswerLeavesTheWriteInEffect() throws Exception {
    platform.setFaults(PlatformFaults.losingAnswers(1, "leases"));
    assertThatThrownBy(() -> transact(new RowWrite(ROW, 0, "1")))
        .isInstanceOf(RemoteCallException.class)
        .extracting("status")
        .isEqualTo(RemoteCallException.NO_STATUS);
    assertThat(platform.table().read(List.of(ROW)).get(0).value()).isEqualTo("1");
    assertThat(transact(new RowWrite(OTHER, 0, "1")).committed()).isTrue();
  }

  @Test
  void refusedWriteHasNoEffect() {
    platform.setFaults(PlatformFaults.tableRefusing());
    assertThatThrownBy(() -> transact(new RowWrite(ROW, 0, "1")))
        .isInstanceOf(RemoteCallException.class)
        .extracting("status")
        .isEqualTo(503);
    assertThat(platform.table().read(List.of(ROW)).get(0).version()).isZero();
  }

  private TransactionAnswer transact(RowWrite... writes) throws RemoteCallException {
    return post(
        "/v1/table/transact", new TableTransaction(List.of(writes)), TransactionAnswer.class);
  }

  private <A> A post(String path, Object body, Class<A> type) throws RemoteCallException {
    return JsonHttpClient.await(client.post(platform.address(), path, body, type, TIMEOUT));
  }
}
