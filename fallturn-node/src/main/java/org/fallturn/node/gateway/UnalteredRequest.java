package org.fallturn.node.gateway;

import java.net.URI;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A request whose target goes out byte for byte. The library's request reads a target as a URI: one
 * that begins with two slashes would lose its first segment as an authority. Used as any request of
 * the library.
 */
final class UnalteredRequest extends HttpRequest {

  private final String id;
  private final String path;
  private final String query;

  /**
   * A request that has not been sent.
   *
   * @param id the id that its answer is to name; empty for a call that has none
   * @param target path and query as they are to be sent
   */
  UnalteredRequest(HttpClient client, NetworkAddress address, String id, String target) {
    super(client, new HttpConversation(), URI.create("http://" + address));
    this.id = id;
    int end = target.indexOf('?');
    path = end < 0 ? target : target.substring(0, end);
    query = end < 0 ? null : target.substring(end + 1);
  }

  /** The id that its answer is to name; empty for a call that has none. */
  String id() {
    return id;
  }

  @Override
  public String getPath() {
    return path;
  }

  @Override
  public String getQuery() {
    return query;
  }
}
