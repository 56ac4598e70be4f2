package org.fallturn.rehearsal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The platform's metadata store: rows with one rising counter, whole readings and a feed of changes
 * that can be made to lose its history. It can be restored from an older copy, which begins another
 * era: the counter goes back, and its versions are issued again. Thread-safe.
 */
public final class EmulatedStore implements AutoCloseable {

  private static final long LONGEST_WAIT_MILLIS = 30_000;
  private static final String ERA_HEADER = "Store-Era";

  private final ObjectMapper json = new ObjectMapper();
  private final Map<String, EmulatedRow> rows = new HashMap<>();
  private final List<EmulatedRow> history = new ArrayList<>();
  private final EmulatedServer server;
  private Map<String, EmulatedRow> staleRows = Map.of();
  private long staleVersion;
  private long version;
  private long historyFrom;
  private long era;
  private StoreFault fault = StoreFault.NONE;

  /** Starts on any free port. */
  public EmulatedStore() throws Exception {
    server = new EmulatedServer(new StoreHandler());
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Writes a row, as an operator or engine would. */
  public synchronized void put(String table, String key, String value) {
    version++;
    record(new EmulatedRow(table, key, value, version));
  }

  /** Removes a row. */
  public synchronized void remove(String table, String key) {
    version++;
    record(new EmulatedRow(table, key, null, version));
  }

  private void record(EmulatedRow row) {
    if (row.value() == null) {
      rows.remove(row.table() + "/" + row.key());
    } else {
      rows.put(row.table() + "/" + row.key(), row);
    }
    history.add(row);
    notifyAll();
  }

  /** Whether a table holds any row. */
  public synchronized boolean holds(String table) {
    return rows.values().stream().anyMatch(row -> row.table().equals(table));
  }

  /** Drops the history so far: whoever is behind must read tables whole. */
  public synchronized void loseHistory() {
    history.clear();
    historyFrom = version;
    notifyAll();
  }

  /** Returns a copy of the present rows. */
  public synchronized StoreCopy copy() {
    return new StoreCopy(rows, version);
  }

  /** Replaces everything by a copy; all that was written since is lost. */
  public synchronized void restore(StoreCopy copy) {
    rows.clear();
    rows.putAll(copy.rows());
    version = copy.version();
    history.removeIf(row -> row.version() > version);
    historyFrom = Math.min(historyFrom, version);
    staleRows = copy.rows();
    staleVersion = version;
    era++;
    notifyAll();
  }

  /** Returns the rows of a table by key. */
  public synchronized Map<String, String> values(String table) {
    return rows.values().stream()
        .filter(row -> row.table().equals(table))
        .collect(Collectors.toMap(EmulatedRow::key, EmulatedRow::value));
  }

  /** Returns the number of times that the store was restored. */
  public synchronized long era() {
    return era;
  }

  /** Begins or ends misbehaving. */
  public synchronized void misbehave(StoreFault newFault) {
    if (newFault == StoreFault.STALE_READS) {
      staleRows = Map.copyOf(rows);
      staleVersion = version;
    }
    fault = newFault;
    notifyAll();
  }

  @Override
  public void close() throws Exception {
    misbehave(StoreFault.DOWN);
    server.close();
  }

  private synchronized byte[] whole(String table) {
    boolean stale = fault == StoreFault.STALE_READS;
    Map<String, EmulatedRow> shown = stale ? staleRows : rows;
    List<EmulatedRow> found =
        shown.values().stream().filter(row -> row.table().equals(table)).toList();
    return body(found, stale ? staleVersion : version);
  }

  /** Null when the history is gone, or when there is no such version. */
  private synchronized byte[] changes(String table, long after, long waitMillis)
      throws InterruptedException {
    long until = System.nanoTime() + Math.min(waitMillis, LONGEST_WAIT_MILLIS) * 1_000_000;
    while (true) {
      if (after < historyFrom || after > version) {
        return null;
      }
      List<EmulatedRow> found =
          history.stream()
              .filter(row -> row.table().equals(table) && row.version() > after)
              .toList();
      long left = (until - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || left <= 0 || fault == StoreFault.DOWN) {
        return body(found, version);
      }
      wait(left);
    }
  }

  /** All or nothing; null when a row has not the expected version. */
  private synchronized byte[] change(JsonNode call) {
    for (JsonNode expected : call.path("expected")) {
      EmulatedRow row = rows.get(name(expected));
      long present = row == null ? 0 : row.version();
      if (present != expected.path("ver").asLong()) {
        return null;
      }
    }
    version++;
    for (JsonNode put : call.path("put")) {
      byte[] value = Base64.getDecoder().decode(put.path("value").asText());
      String text = new String(value, StandardCharsets.UTF_8);
      record(new EmulatedRow(put.path("table").asText(), put.path("key").asText(), text, version));
    }
    for (JsonNode removed : call.path("remove")) {
      String table = removed.path("table").asText();
      record(new EmulatedRow(table, removed.path("key").asText(), null, version));
    }
    return body(List.of(), version);
  }

  private static String name(JsonNode row) {
    return row.path("table").asText() + "/" + row.path("key").asText();
  }

  private byte[] body(List<EmulatedRow> found, long at) {
    ObjectNode answer = json.createObjectNode();
    ArrayNode list = answer.putArray("rows");
    for (EmulatedRow row : found) {
      ObjectNode one = list.addObject();
      one.put("table", row.table()).put("part", "").put("key", row.key());
      one.put("ver", row.version());
      if (row.value() == null) {
        one.put("gone", true);
      } else {
        byte[] bytes = row.value().getBytes(StandardCharsets.UTF_8);
        one.put("value", Base64.getEncoder().encodeToString(bytes));
      }
    }
    answer.put("more", false).put("ver", at).put("now_ms", System.nanoTime() / 1_000_000);
    return answer.toString().getBytes(StandardCharsets.UTF_8);
  }

  private synchronized StoreFault fault() {
    return fault;
  }

  /** Answers calls. */
  private final class StoreHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      switch (fault()) {
        case DOWN -> answer(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, null);
        case THROTTLED -> answer(response, callback, HttpStatus.TOO_MANY_REQUESTS_429, null);
        case SILENT -> request.addFailureListener(callback::failed);
        default -> serve(request, response, callback);
      }
      return true;
    }

    private void serve(Request request, Response response, Callback callback) throws Exception {
      Fields query = Request.extractQueryParameters(request);
      String table = query.getValue("table");
      switch (Request.getPathInContext(request)) {
        case "/-/rows-tx" -> {
          byte[] changed = change(json.readTree(Content.Source.asByteBuffer(request).array()));
          int status = changed == null ? HttpStatus.PRECONDITION_FAILED_412 : HttpStatus.OK_200;
          answer(response, callback, status, changed);
        }
        case "/-/rows-get" -> answer(response, callback, HttpStatus.OK_200, whole(table));
        case "/-/rows-feed" -> {
          long after = Long.parseLong(query.getValue("after"));
          byte[] body = changes(table, after, Long.parseLong(query.getValue("waitMs")));
          int status = body == null ? HttpStatus.GONE_410 : HttpStatus.OK_200;
          answer(response, callback, status, body);
        }
        default -> answer(response, callback, HttpStatus.NOT_FOUND_404, null);
      }
    }

    private void answer(Response response, Callback callback, int status, byte[] body) {
      response.setStatus(status);
      response.getHeaders().put(ERA_HEADER, era());
      response.write(
          true, body == null ? BufferUtil.EMPTY_BUFFER : ByteBuffer.wrap(body), callback);
    }
  }
}
