package org.fallturn.node.application;

import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.engine.SendTracker;

/** Sends requests to application back ends, each exactly once. Thread-safe; never blocks. */
public final class ForwardClient {

  private final HttpClient client;

  /** Uses a started client that this class does not stop. */
  public ForwardClient(HttpClient client) {
    this.client = client;
  }

  /** Sends a request; what follows goes to the listener. */
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
