import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of an engine of the plain application (PROTOCOL.md, "Engines"). */
final class Engine implements AutoCloseable {

  /** How long the work on a request takes. */
  interface Work {
    /** Returns the ms of work, given the time that the engine may take. */
    double millis(Http.Message request, long deadlineMillis);
  }

  final String id;
  final String service;
  final String zone;
  private final Semaphore slots;
  private final int slotCount;
  private final int queueLimit;
  private final AtomicInteger queued = new AtomicInteger();
  private final Record record;
  volatile Work work;
  final Http.Server server;

  Engine(
      String id, String service, String host, String zone, int slots, int queue, Work work,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slotCount = slots;
    this.slots = new Semaphore(slots, true);
    this.queueLimit = queue;
    this.work = work;
    this.record = record;
    this.server = new Http.Server(host, this::handle);
  }

  /** The entry of this engine in the store. */
  String entry(String state, int sequence) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", server.address());
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", slotCount);
    entry.put("state", state);
    entry.put("coldRemainingMs", 0);
    entry.put("sequence", sequence);
    return Json.write(entry);
  }

  /** The body that answers a request; 800 bytes that name the request. */
  static byte[] body(String requestId) {
    StringBuilder text = new StringBuilder("answer to " + requestId + "\n");
    while (text.length() < 800) {
      text.append("0123456789abcdef");
    }
    return text.substring(0, 800).getBytes(StandardCharsets.US_ASCII);
  }

  private boolean handle(Http.Message request, OutputStream out) throws Exception {
    String target = request.target();
    String expected = request.header("X-Fallturn-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      Http.answer(out, 421, Map.of("X-Fallturn-Instance-Id", id), new byte[0]);
      return true;
    }
    if (target.equals("/-/report")) {
      String report =
          "{\"stage\":\"decode\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":"
              + queued.get()
              + ",\"running\":"
              + (slotCount - slots.availablePermits())
              + ",\"kvUsed\":0,\"kvTotal\":0,\"kvHandles\":0}";
      Http.answer(
          out, 200, Map.of("Content-Type", "application/json"), report.getBytes("US-ASCII"));
      return true;
    }
    if (target.startsWith("/-/kv-list")) {
      Http.answer(
          out,
          200,
          Map.of("Content-Type", "application/json"),
          "{\"epoch\":1,\"nextPageToken\":0,\"held\":[]}".getBytes("US-ASCII"));
      return true;
    }
    String requestId = request.header("X-Fallturn-Request-Id");
    long deadline = Long.parseLong(request.header("X-Fallturn-Deadline-Ms"));
    long begun = System.nanoTime();
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Fallturn-Request-Id", requestId);
    if (queued.incrementAndGet() > queueLimit + slotCount
        || !slots.tryAcquire(deadline, TimeUnit.MILLISECONDS)) {
      queued.decrementAndGet();
      headers.put("X-Fallturn-Not-Executed", "1");
      Http.answer(out, 503, headers, new byte[0]);
      return true;
    }
    queued.decrementAndGet();
    int status = 200;
    try {
      record.ran(requestId, id);
      double left = deadline - (System.nanoTime() - begun) / 1e6;
      double millis = work.millis(request, deadline);
      long until = System.nanoTime() + (long) (Math.min(millis, Math.max(0, left)) * 1e6);
      for (long rest = until - System.nanoTime(); rest > 0; rest = until - System.nanoTime()) {
        Thread.sleep(rest / 1_000_000, (int) (rest % 1_000_000));
      }
      status = millis > left ? 504 : 200;
    } finally {
      slots.release();
    }
    headers.put("X-Fallturn-Response-Stamp", "stamp." + id + "." + requestId);
    byte[] body = status == 200 ? body(requestId) : new byte[0];
    record.answered(requestId, id, status);
    Http.answer(out, status, headers, body);
    return true;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
