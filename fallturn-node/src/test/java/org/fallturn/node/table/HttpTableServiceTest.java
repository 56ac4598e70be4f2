package org.fallturn.node.table;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.table.ReadRequest;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowList;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.node.objectstore.HttpObjectStore;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The store adapters against a real HTTP server that answers, refuses or stays silent. */
class HttpTableServiceTest {

  private static final NetworkAddress ANY_PORT = new NetworkAddress("127.0.0.1", 0);
  private static final Duration GENEROUS = Duration.ofSeconds(30);
  private static final TableTransaction WRITE =
      new TableTransaction(List.of(new RowWrite(new RowKey("t", "k"), 0, "1")));

  private final JsonCodec codec = new JsonCodec();
  private final HttpRouter router = new HttpRouter(codec);
  private HttpClient jettyClient;
  private JsonHttpClient client;

  @BeforeEach
  void startClient() throws Exception {
    jettyClient = new HttpClient();
    jettyClient.start();
    client = new JsonHttpClient(jettyClient, codec);
  }

  @AfterEach
  void stopClient() throws Exception {
    jettyClient.stop();
  }

  private HttpListener serve() throws Exception {
    return new HttpListener("store", ANY_PORT, 8, router);
  }

  private void answerWithStatus(String method, String path, int status) {
    router.route(
        method,
        path,
        (request, response, callback) -> {
          response.setStatus(status);
          callback.succeeded();
        });
  }

  private HttpTableService table(NetworkAddress address, Duration timeout) {
    return new HttpTableService(client, address, timeout);
  }

  private StoreException failureOfWrite(NetworkAddress address, Duration timeout) {
    return catchThrowableOfType(
        StoreException.class, () -> table(address, timeout).transact(WRITE));
  }

  @Test
  void readsRowsInTheOrderAskedFor() throws Exception {
    router.message(
        "/v1/table/read",
        ReadRequest.class,
        10_000,
        request ->
            CompletableFuture.completedFuture(
                new RowList(
                    request.keys().stream().map(key -> new TableRow(key, 7, "{}")).toList())));
    try (HttpListener listener = serve()) {
      List<RowKey> keys = List.of(new RowKey("t", "b"), new RowKey("t", "a"));
      List<TableRow> rows = table(listener.address(), GENEROUS).read(keys);
      assertThat(rows).extracting(TableRow::key).isEqualTo(keys);
      assertThat(rows).extracting(TableRow::version).containsExactly(7L, 7L);
    }
  }

  @Test
  void rateLimitedAndUnavailableHadNoEffect() throws Exception {
    for (int status : new int[] {429, 503}) {
      HttpRouter refusing = new HttpRouter(codec);
      refusing.route(
          "POST",
          "/v1/table/transact",
          (request, response, callback) -> {
            response.setStatus(status);
            callback.succeeded();
          });
      try (HttpListener listener = new HttpListener("store", ANY_PORT, 8, refusing)) {
        assertThat(failureOfWrite(listener.address(), GENEROUS).mayHaveTakenEffect()).isFalse();
      }
    }
  }

  @Test
  void anyOtherStatusMayHaveTakenEffect() throws Exception {
    answerWithStatus("POST", "/v1/table/transact", 500);
    try (HttpListener listener = serve()) {
      assertThat(failureOfWrite(listener.address(), GENEROUS).mayHaveTakenEffect()).isTrue();
    }
  }

  @Test
  void refusedConnectionHadNoEffect() throws Exception {
    int freePort;
    try (ServerSocket socket = new ServerSocket(0)) {
      freePort = socket.getLocalPort();
    }
    NetworkAddress nobody = new NetworkAddress("127.0.0.1", freePort);
    assertThat(failureOfWrite(nobody, GENEROUS).mayHaveTakenEffect()).isFalse();
  }

  @Test
  void silenceAndBrokenConnectionsMayHaveTakenEffect() throws Exception {
    router.route(
        "POST",
        "/v1/table/transact",
        (request, response, callback) -> request.getConnectionMetaData().getConnection().close());
    try (HttpListener listener = serve()) {
      assertThat(failureOfWrite(listener.address(), GENEROUS).mayHaveTakenEffect()).isTrue();
    }
    HttpRouter silent = new HttpRouter(codec);
    silent.route("POST", "/v1/table/transact", (request, response, callback) -> {});
    try (HttpListener listener = new HttpListener("store", ANY_PORT, 8, silent)) {
      StoreException failure = failureOfWrite(listener.address(), Duration.ofMillis(200));
      assertThat(failure.mayHaveTakenEffect()).isTrue();
    }
  }

  @Test
  void objectsAreReadWholeAndAbsentOnesAreEmpty() throws Exception {
    byte[] content = "snapshot".getBytes(StandardCharsets.UTF_8);
    router.route(
        "GET",
        "/v1/objects/present",
        (request, response, callback) ->
            response.write(true, java.nio.ByteBuffer.wrap(content), callback));
    answerWithStatus("PUT", "/v1/objects/present", 200);
    answerWithStatus("PUT", "/v1/objects/refused", 503);
    answerWithStatus("GET", "/v1/objects/absent", 404);
    try (HttpListener listener = serve()) {
      HttpObjectStore store = new HttpObjectStore(client, listener.address(), GENEROUS);
      store.put("present", content);
      assertThat(store.get("present")).hasValue(content);
      assertThat(store.get("absent")).isEmpty();
      StoreException failure =
          catchThrowableOfType(StoreException.class, () -> store.put("refused", content));
      assertThat(failure.mayHaveTakenEffect()).isFalse();
    }
  }
}
