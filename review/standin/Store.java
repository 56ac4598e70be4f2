import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound store of the platform, form "table": rows, whole readings, the feed, transactions. */
final class Store implements AutoCloseable {

  private record Row(String table, String key, String value, long ver) {}

  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private long version = 100;
  private long era = 1;
  private boolean away;
  private final MiniServer server;

  Store() throws IOException {
    server = new MiniServer(this::handle);
  }

  String address() {
    return server.address();
  }

  synchronized void put(String table, String key, String value) {
    version++;
    record(new Row(table, key, value, version));
  }

  synchronized void remove(String table, String key) {
    version++;
    record(new Row(table, key, null, version));
  }

  /** The rows as they are now, to come back from later. */
  synchronized Copy copy() {
    return new Copy(new TreeMap<>(rows), version);
  }

  /** A copy of all rows, and the version at which it was taken. */
  record Copy(Map<String, Row> rows, long version) {}

  /** From now on no call is answered: connections close, and new ones are silent. */
  void goAway() {
    synchronized (this) {
      away = true;
      notifyAll();
    }
    server.closeConnections();
  }

  /**
   * Comes back from a copy. What the operator and the engines wrote since is written again at once;
   * what the system wrote since is gone.
   */
  synchronized void comeBack(Copy copy, List<String> written) {
    Map<String, Row> before = new TreeMap<>(rows);
    rows.clear();
    rows.putAll(copy.rows());
    version = copy.version();
    history.removeIf(row -> row.ver() > version);
    era++;
    away = false;
    for (String table : written) {
      before.values().stream()
          .filter(row -> row.table().equals(table))
          .filter(row -> row.ver() > copy.version())
          .forEach(row -> put(table, row.key(), row.value()));
    }
    notifyAll();
  }

  private void record(Row row) {
    if (row.value() == null) {
      rows.remove(row.table() + "/" + row.key());
    } else {
      rows.put(row.table() + "/" + row.key(), row);
    }
    history.add(row);
    notifyAll();
  }

  private void handle(MiniServer.Request request, MiniServer.Connection connection)
      throws Exception {
    Thread.sleep(4);
    byte[] body;
    int status = 200;
    if (waitWhileAway()) {
      connection.socket.close();
      return;
    }
    switch (request.path()) {
      case "/-/rows-get" -> body = whole(request);
      case "/-/rows-feed" -> {
        body =
            changes(
                request.query("table"),
                Long.parseLong(request.query("after")),
                Long.parseLong(request.query("waitMs")));
        status = body == null ? 410 : 200;
      }
      case "/-/rows-tx" -> {
        body = change(json.readTree(request.body()));
        status = body == null ? 412 : 200;
      }
      default -> {
        body = null;
        status = 404;
      }
    }
    answer(connection, status, body);
  }

  /** Returns whether the store was away when the call came; nothing was done then. */
  private synchronized boolean waitWhileAway() throws InterruptedException {
    boolean wasAway = away;
    while (away) {
      wait();
    }
    return wasAway;
  }

  private void answer(MiniServer.Connection connection, int status, byte[] body)
      throws IOException {
    connection.answer(
        status,
        Map.of("Content-Type", "application/json", "Store-Era", Long.toString(era())),
        body == null ? "{\"rows\":[]}".getBytes(StandardCharsets.UTF_8) : body);
  }

  private synchronized long era() {
    return era;
  }

  private synchronized byte[] whole(MiniServer.Request request) {
    String table = request.query("table");
    String from = request.query("from") == null ? "" : request.query("from");
    int limit = request.query("limit") == null ? 500 : Integer.parseInt(request.query("limit"));
    List<Row> found =
        rows.values().stream()
            .filter(row -> row.table().equals(table) && row.key().compareTo(from) >= 0)
            .toList();
    boolean more = found.size() > Math.min(limit, 500);
    return text(more ? found.subList(0, Math.min(limit, 500)) : found, more);
  }

  private synchronized byte[] changes(String table, long after, long waitMs)
      throws InterruptedException {
    long until = System.nanoTime() + Math.min(waitMs, 30_000) * 1_000_000;
    while (true) {
      if (away || after > version) {
        return null;
      }
      List<Row> found =
          history.stream().filter(row -> row.table().equals(table) && row.ver() > after).toList();
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || left <= 0) {
        return text(found, false);
      }
      wait(left);
    }
  }

  private synchronized byte[] change(JsonNode call) {
    for (JsonNode expected : call.path("expected")) {
      Row row = rows.get(name(expected));
      if ((row == null ? 0 : row.ver()) != expected.path("ver").asLong()) {
        return null;
      }
    }
    version++;
    for (JsonNode put : call.path("put")) {
      byte[] value = Base64.getDecoder().decode(put.path("value").asText());
      record(
          new Row(
              put.path("table").asText(),
              put.path("key").asText(),
              new String(value, StandardCharsets.UTF_8),
              version));
    }
    for (JsonNode gone : call.path("remove")) {
      record(new Row(gone.path("table").asText(), gone.path("key").asText(), null, version));
    }
    return text(List.of(), false);
  }

  private static String name(JsonNode row) {
    return row.path("table").asText() + "/" + row.path("key").asText();
  }

  private byte[] text(List<Row> found, boolean more) {
    ObjectNode answer = json.createObjectNode();
    ArrayNode list = answer.putArray("rows");
    for (Row row : found) {
      ObjectNode one = list.addObject();
      one.put("table", row.table()).put("part", "").put("key", row.key()).put("ver", row.ver());
      if (row.value() == null) {
        one.put("gone", true);
      } else {
        one.put(
            "value",
            Base64.getEncoder().encodeToString(row.value().getBytes(StandardCharsets.UTF_8)));
      }
    }
    answer.put("more", more).put("ver", version).put("now_ms", System.nanoTime() / 1_000_000);
    return answer.toString().getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.close();
  }
}
