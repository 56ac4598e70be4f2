package org.fallturn.rehearsal.application;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;
import org.fallturn.rehearsal.StandInAnswers;

/**
 * An application back end: {@code POST|PUT|GET|DELETE /services/{name}/...} is executed once per
 * request and counted by business key. The answer echoes path and body, so that callers can check
 * it whole. Any thread may call.
 */
public final class ApplicationStandIn implements AutoCloseable {

  /** Header with the key of the business action. */
  public static final String BUSINESS_KEY_HEADER = "X-Business-Key";

  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
  private static final int MAX_THREADS = 16;
  private static final int UNAVAILABLE = 503;

  private final ApplicationSettings settings;
  private final JsonCodec codec = new JsonCodec();
  private final ScheduledExecutorService worker;
  private final Map<String, Integer> perKey = new HashMap<>();
  private ApplicationControl control;
  private long executions;
  private long refusedWhileLeaving;
  private HttpListener listener;

  /** An application that does not listen yet. */
  public ApplicationStandIn(ApplicationSettings settings) {
    this.settings = settings;
    this.control = new ApplicationControl(settings.delayMillis(), false, 0, 0, 0);
    this.worker = Executors.newSingleThreadScheduledExecutor(ApplicationStandIn::daemon);
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "application");
    thread.setDaemon(true);
    return thread;
  }

  /** Binds and starts. */
  public ApplicationStandIn start() throws Exception {
    HttpRouter router = new HttpRouter(codec);
    for (String method : new String[] {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
      router.route(method, "/services/", this::serve);
    }
    router.document("/control/counts", request -> CompletableFuture.completedFuture(counts()));
    router.message(
        "/control/behaviour",
        ApplicationControl.class,
        MAX_BODY_BYTES,
        next -> CompletableFuture.completedFuture(behave(next)));
    listener =
        new HttpListener("application-" + settings.id(), settings.listen(), MAX_THREADS, router);
    return this;
  }

  /** Where it listens. */
  public NetworkAddress address() {
    return listener.address();
  }

  /** What it did so far. */
  public synchronized ExecutionCounts counts() {
    return new ExecutionCounts(executions, perKey, refusedWhileLeaving);
  }

  /** Changes how it behaves. */
  public synchronized ApplicationControl behave(ApplicationControl next) {
    control = next;
    return next;
  }

  @Override
  public void close() throws Exception {
    worker.shutdownNow();
    if (listener != null) {
      listener.close();
    }
  }

  /** The text that answers a request; callers check it. */
  public static String answer(String method, String path, String body) {
    return method + " " + path + " done: " + body;
  }

  private enum Ending {
    WHOLE,
    CUT_BEFORE,
    CUT_AFTER,
    CUT_MIDWAY
  }

  private void serve(Request request, Response response, Callback callback) throws Exception {
    byte[] body = HttpRouter.read(request, MAX_BODY_BYTES);
    long delay;
    Ending ending;
    synchronized (this) {
      if (control.leaving()) {
        refusedWhileLeaving++;
        response.setStatus(UNAVAILABLE);
        callback.succeeded();
        return;
      }
      delay = control.delayMillis();
      ending = takeEnding();
    }
    if (ending == Ending.CUT_BEFORE) {
      StandInAnswers.cut(request, response, callback);
      return;
    }
    worker.schedule(
        () -> execute(request, response, callback, body, ending), delay, TimeUnit.MILLISECONDS);
  }

  private Ending takeEnding() {
    int before = control.cutBeforeExecution();
    int after = control.cutAfterExecution();
    int midway = control.cutMidAnswer();
    Ending ending = Ending.WHOLE;
    if (before > 0) {
      ending = Ending.CUT_BEFORE;
      before--;
    } else if (after > 0) {
      ending = Ending.CUT_AFTER;
      after--;
    } else if (midway > 0) {
      ending = Ending.CUT_MIDWAY;
      midway--;
    }
    control =
        new ApplicationControl(control.delayMillis(), control.leaving(), before, after, midway);
    return ending;
  }

  private void execute(
      Request request, Response response, Callback callback, byte[] body, Ending ending) {
    count(request);
    if (ending == Ending.CUT_AFTER) {
      StandInAnswers.cut(request, response, callback);
      return;
    }
    String path = Request.getPathInContext(request);
    String text = answer(request.getMethod(), path, new String(body, StandardCharsets.UTF_8));
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    response.getHeaders().put("X-Back-End", settings.id());
    if (ending == Ending.CUT_MIDWAY) {
      ByteBuffer half = ByteBuffer.wrap(bytes, 0, bytes.length / 2);
      response.write(
          false,
          half,
          Callback.from(() -> StandInAnswers.cut(request, response, callback), callback::failed));
      return;
    }
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }

  private synchronized void count(Request request) {
    executions++;
    String key = request.getHeaders().get(BUSINESS_KEY_HEADER);
    if (key == null) {
      key = request.getHeaders().get(IDEMPOTENCY_KEY_HEADER);
    }
    if (key != null) {
      perKey.merge(key, 1, Integer::sum);
    }
  }
}
