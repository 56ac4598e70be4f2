package org.fallturn.node.application;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.engine.SendTracker;

/**
 * HTTP client that forwards requests to application back ends, without retries. Thread-safe; never
 * blocks.
 */
public final class ForwardClient {

  private final HttpClient client;

  /** Creates a client over a started Jetty client, which the caller must stop. */
  public ForwardClient(HttpClient client) {
    this.client = client;
  }

  /**
   * Sends a request once.
   *
   * @param address host and port of the back end
   * @param forwarded the request
   * @param listener receives the response or the failure
   */
  public ForwardExchange send(
      NetworkAddress address, ForwardedRequest forwarded, ForwardListener listener) {
    Request request =
        client
            .newRequest("http://" + address + forwarded.pathQuery())
            .method(forwarded.method())
            .headers(headers -> forwarded.headers().forEach(headers::put));
    if (forwarded.body().length > 0) {
      request.body(new BytesRequestContent(contentType(forwarded), forwarded.body()));
    }
    SendTracker tracker = new SendTracker();
    request.onRequestBegin(tracker);
    ForwardExchange exchange = new ForwardExchange(request, tracker, listener);
    request.send(exchange);
    return exchange;
  }

  private static String contentType(ForwardedRequest forwarded) {
    String type = forwarded.headers().get("Content-Type");
    return type == null ? "application/octet-stream" : type;
  }
}
