package org.fallturn.node.objectstore;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.port.objectstore.ObjectStore;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.node.table.StoreFailures;

/**
 * The object store over its published HTTP protocol. Each call blocks for the timeout at most and
 * is sent exactly once. Thread-safe.
 */
public final class HttpObjectStore implements ObjectStore {

  private static final String PATH = "/v1/objects/";
  private static final int MAX_OBJECT_BYTES = 64 * 1024 * 1024;
  private static final int NOT_FOUND = 404;
  private static final int OK_FROM = 200;
  private static final int OK_BELOW = 300;

  private final JsonHttpClient client;
  private final NetworkAddress address;
  private final Duration timeout;

  /**
   * An adapter that connects when it is first used.
   *
   * @param client sends the calls
   * @param address the platform's address
   * @param timeout bound on each call
   */
  public HttpObjectStore(JsonHttpClient client, NetworkAddress address, Duration timeout) {
    this.client = client;
    this.address = address;
    this.timeout = timeout;
  }

  @Override
  public void put(String name, byte[] content) throws StoreException {
    Request request = request(HttpMethod.PUT, name);
    request.body(new BytesRequestContent("application/octet-stream", content));
    ContentResponse response = send(request, "put of object " + name);
    requireSuccess(response, "put of object " + name);
  }

  @Override
  public Optional<byte[]> get(String name) throws StoreException {
    ContentResponse response = send(request(HttpMethod.GET, name), "get of object " + name);
    if (response.getStatus() == NOT_FOUND) {
      return Optional.empty();
    }
    requireSuccess(response, "get of object " + name);
    return Optional.of(response.getContent());
  }

  private Request request(HttpMethod method, String name) {
    String encoded = URLEncoder.encode(name, StandardCharsets.UTF_8);
    return client
        .jettyClient()
        .newRequest("http://" + address + PATH + encoded)
        .method(method)
        .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static ContentResponse send(Request request, String operation) throws StoreException {
    try {
      return new CompletableResponseListener(request, MAX_OBJECT_BYTES).send().get();
    } catch (ExecutionException e) {
      throw StoreFailures.ofNoAnswer(operation, e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StoreException("interrupted in " + operation, true, e);
    }
  }

  private static void requireSuccess(ContentResponse response, String operation)
      throws StoreException {
    int status = response.getStatus();
    if (status < OK_FROM || status >= OK_BELOW) {
      throw StoreFailures.ofStatus(operation, status, null);
    }
  }
}
