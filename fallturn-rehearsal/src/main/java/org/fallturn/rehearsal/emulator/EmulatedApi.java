package org.fallturn.rehearsal.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The platform's API for calls that are the duty of one node at a time: refuses a fencing token
 * below one it has seen for the same path, and keeps what it has taken. Thread-safe.
 */
public final class EmulatedApi implements AutoCloseable {

  private final ObjectMapper json = new ObjectMapper();
  private final EmulatedServer server;
  private final Map<String, Long> highestTokens = new HashMap<>();
  private final List<Taken> taken = new ArrayList<>();
  private final List<Taken> refused = new ArrayList<>();
  private boolean refuses;

  /** Starts on any free port. */
  public EmulatedApi() throws Exception {
    server = new EmulatedServer(new ApiHandler());
  }

  /**
   * A call.
   *
   * @param path what was called
   * @param holder who said that it has the duty
   * @param fencingToken the number that it gave
   * @param body what it said
   * @param nanos when it came, by the steady clock
   */
  public record Taken(String path, String holder, long fencingToken, JsonNode body, long nanos) {

    /** The window of a usage report. */
    public long usageWindow() {
      return body.path("windowId").asLong();
    }

    /** The counts of a usage report, by tenant. */
    public Map<String, Long> usageCounts() {
      Map<String, Long> counts = new TreeMap<>();
      body.path("counts")
          .properties()
          .forEach(count -> counts.put(count.getKey(), count.getValue().asLong()));
      return counts;
    }
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return server.address();
  }

  /** The calls that were taken, in order. */
  public synchronized List<Taken> taken() {
    return List.copyOf(taken);
  }

  /** The calls that were refused while it took nothing, in order. */
  public synchronized List<Taken> refused() {
    return List.copyOf(refused);
  }

  /** Answers that it takes nothing now, or takes calls again. */
  public synchronized void refuse(boolean refused) {
    refuses = refused;
  }

  private synchronized int take(Taken call) {
    if (refuses) {
      refused.add(call);
      return HttpStatus.SERVICE_UNAVAILABLE_503;
    }
    if (call.fencingToken() < highestTokens.getOrDefault(call.path(), 0L)) {
      return HttpStatus.CONFLICT_409;
    }
    highestTokens.put(call.path(), call.fencingToken());
    taken.add(call);
    return HttpStatus.OK_200;
  }

  @Override
  public void close() throws Exception {
    server.close();
  }

  /** Answers calls. */
  private final class ApiHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      JsonNode body = json.readTree(Content.Source.asByteBuffer(request).array());
      Taken call =
          new Taken(
              Request.getPathInContext(request),
              request.getHeaders().get("X-Fallturn-Duty-Holder"),
              request.getHeaders().getLongField("X-Fallturn-Fencing-Token"),
              body,
              System.nanoTime());
      response.setStatus(take(call));
      response.write(true, BufferUtil.EMPTY_BUFFER, callback);
      return true;
    }
  }
}
