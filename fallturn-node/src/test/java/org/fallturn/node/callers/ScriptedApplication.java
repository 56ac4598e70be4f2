package org.fallturn.node.callers;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.domain.RegionName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.ZoneName;
import org.fallturn.core.port.machines.Machine;
import org.fallturn.node.http.HttpListener;
import org.fallturn.node.http.HttpRouter;
import org.fallturn.node.json.JsonCodec;

/** A back end that runs a script a call; without one it echoes the body. */
final class ScriptedApplication implements AutoCloseable {

  private static final int MAX_BYTES = 4 * 1024 * 1024;

  /** What one call does after it was counted. */
  interface Script {
    void run(Response response, Callback callback) throws Exception;
  }

  /** Closes the connection without an answer. */
  static final Script CRASH =
      (response, callback) -> {
        response.getRequest().getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new IllegalStateException("scripted crash"));
      };

  final List<String> bodies = new CopyOnWriteArrayList<>();
  final List<HttpFields> headers = new CopyOnWriteArrayList<>();
  private final Queue<Script> scripts = new ConcurrentLinkedQueue<>();
  private final String name;
  private final HttpListener listener;

  ScriptedApplication(String name) throws Exception {
    this.name = name;
    HttpRouter router = new HttpRouter(new JsonCodec());
    router.route("POST", "/services/", this::serve);
    listener = new HttpListener(name, new NetworkAddress("127.0.0.1", 0), 8, router);
  }

  ScriptedApplication next(Script script) {
    scripts.add(script);
    return this;
  }

  Machine machine(String service, ZoneName zone, Machine.State state) {
    return new Machine(
        name,
        Machine.Kind.APPLICATION,
        new RegionName("alava"),
        zone,
        listener.address(),
        Optional.empty(),
        Optional.empty(),
        Optional.of(new ServiceName(service)),
        state);
  }

  private void serve(Request request, Response response, Callback callback) throws Exception {
    String body = new String(HttpRouter.read(request, MAX_BYTES), StandardCharsets.UTF_8);
    headers.add(request.getHeaders().asImmutable());
    bodies.add(body);
    Script script = scripts.poll();
    if (script != null) {
      script.run(response, callback);
      return;
    }
    String text = Request.getPathInContext(request) + " did " + body;
    response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
  }

  @Override
  public void close() throws Exception {
    listener.close();
  }
}
