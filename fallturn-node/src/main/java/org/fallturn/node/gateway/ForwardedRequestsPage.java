package org.fallturn.node.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.fallturn.core.forwarding.ForwardedRequests;

/**
 * Tells other nodes which of the requests that they send to engines for this one it still waits
 * for. Question and answer are keys, one a line. Thread-safe.
 */
final class ForwardedRequestsPage extends Handler.Abstract.NonBlocking {

  /** Path (method POST) at which a node asks. */
  static final String PATH = "/forwarded-requests";

  private static final String LINE = "\n";

  private final ForwardedRequests requests;

  ForwardedRequestsPage(ForwardedRequests requests) {
    this.requests = requests;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    boolean asks =
        HttpMethod.POST.is(request.getMethod()) && Request.getPathInContext(request).equals(PATH);
    if (asks) {
      Content.Source.asString(
          request,
          StandardCharsets.UTF_8,
          Promise.from(
              question -> answer(question, response, callback),
              failure -> Response.writeError(request, response, callback, failure)));
    }
    return asks;
  }

  private void answer(String question, Response response, Callback callback) {
    String confirmed = text(requests.confirm(keys(question), System.nanoTime()));
    response.setStatus(HttpStatus.OK_200);
    response.write(true, BufferUtil.toBuffer(confirmed, StandardCharsets.UTF_8), callback);
  }

  /** Writes keys as they are asked for and confirmed. */
  static String text(Iterable<String> keys) {
    return String.join(LINE, keys);
  }

  /** Reads what {@link #text} wrote. */
  static List<String> keys(String text) {
    return List.of(text.split(LINE));
  }
}
