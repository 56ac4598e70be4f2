import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store"). */
final class Store implements AutoCloseable {

  private static final long TX_MS = 3;

  /** Hook that a case may set; called before each call is handled. */
  interface Gate {
    void before(String path, Map<String, String> query) throws Exception;
  }

  record Row(String table, String part, String key, String value, long ver, boolean gone) {
    Map<String, Object> json() {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("table", table);
      row.put("part", part);
      row.put("key", key);
      if (gone) {
        row.put("gone", true);
      } else {
        row.put("value", value);
      }
      row.put("ver", ver);
      return row;
    }
  }

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> changes = new ArrayList<>();
  private long version;
  volatile Gate gate = (path, query) -> {};
  final Http.Server server;

  Store(String host) throws IOException {
    server = new Http.Server(host, this::handle);
  }

  private static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  /** Writes a row as the operator or an engine would. */
  synchronized long put(String table, String key, String value) {
    version++;
    set(table, "", key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    notifyAll();
    return version;
  }

  synchronized long remove(String table, String key) {
    version++;
    drop(table, "", key);
    notifyAll();
    return version;
  }

  private TreeMap<String, Row> table(String name, String part) {
    return tables.computeIfAbsent(name + "/" + part, ignored -> new TreeMap<>());
  }

  private void set(String table, String part, String key, String value) {
    Row row = new Row(table, part, key, value, version, false);
    table(table, part).put(key, row);
    changes.add(row);
  }

  private void drop(String table, String part, String key) {
    if (table(table, part).remove(key) != null) {
      changes.add(new Row(table, part, key, null, version, true));
    }
  }

  private boolean handle(Http.Message request, OutputStream out) throws Exception {
    String target = request.target();
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    gate.before(path, query);
    Thread.sleep(TX_MS);
    Map<String, Object> body = new LinkedHashMap<>();
    int status =
        switch (path) {
          case "/-/rows-get" -> get(query, body);
          case "/-/rows-feed" -> feed(query, body);
          case "/-/rows-tx" ->
              change(new String(request.body, StandardCharsets.UTF_8), body);
          default -> 404;
        };
    Http.answer(
        out,
        status,
        Map.of("Content-Type", "application/json"),
        Json.write(body).getBytes(StandardCharsets.UTF_8));
    return true;
  }

  private synchronized int get(Map<String, String> query, Map<String, Object> body) {
    int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
    List<Object> rows = new ArrayList<>();
    boolean more = false;
    TreeMap<String, Row> all = table(query.get("table"), query.getOrDefault("part", ""));
    for (Row row : all.tailMap(query.getOrDefault("from", ""), true).values()) {
      if (rows.size() == limit) {
        more = true;
        break;
      }
      rows.add(row.json());
    }
    body.put("rows", rows);
    body.put("more", more);
    body.put("ver", version);
    body.put("now_ms", nowMs());
    return 200;
  }

  private synchronized int feed(Map<String, String> query, Map<String, Object> body)
      throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = nowMs() + Math.min(30_000, Long.parseLong(query.getOrDefault("waitMs", "0")));
    List<Object> rows = changed(query.get("table"), after);
    while (rows.isEmpty() && nowMs() < end) {
      wait(Math.max(1, end - nowMs()));
      rows = changed(query.get("table"), after);
    }
    body.put("rows", rows);
    body.put("ver", version);
    body.put("now_ms", nowMs());
    return 200;
  }

  private List<Object> changed(String table, long after) {
    List<Object> rows = new ArrayList<>();
    for (Row row : changes) {
      if (row.ver() > after && row.table().equals(table)) {
        rows.add(row.json());
      }
    }
    return rows;
  }

  @SuppressWarnings("unchecked")
  private synchronized int change(String text, Map<String, Object> body) {
    Map<String, Object> call = (Map<String, Object>) Json.parse(text);
    List<Object> present = new ArrayList<>();
    boolean fits = true;
    for (Object entry : (List<Object>) call.getOrDefault("expected", List.of())) {
      Map<String, Object> row = (Map<String, Object>) entry;
      Row known = table((String) row.get("table"), part(row)).get((String) row.get("key"));
      fits &= (known == null ? 0 : known.ver()) == ((Number) row.get("ver")).longValue();
      if (known != null) {
        present.add(known.json());
      }
    }
    if (fits) {
      version++;
      for (Object entry : (List<Object>) call.getOrDefault("put", List.of())) {
        Map<String, Object> row = (Map<String, Object>) entry;
        set(
            (String) row.get("table"),
            part(row),
            (String) row.get("key"),
            (String) row.get("value"));
      }
      for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
        Map<String, Object> row = (Map<String, Object>) entry;
        drop((String) row.get("table"), part(row), (String) row.get("key"));
      }
      notifyAll();
    } else {
      body.put("rows", present);
    }
    body.put("ver", version);
    body.put("now_ms", nowMs());
    return fits ? 200 : 412;
  }

  private static String part(Map<String, Object> row) {
    Object part = row.get("part");
    return part == null ? "" : (String) part;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
