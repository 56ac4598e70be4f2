package org.fallturn.node.callers;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.fallturn.core.domain.RequestId;
import org.fallturn.core.domain.TenantName;

/**
 * Which headers pass between a caller and a back end. Those of one connection stay on it, and the
 * caller's API key never reaches a back end. Stateless.
 */
final class ForwardHeaders {

  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length");
  private static final Set<String> CALLER_ONLY_HEADERS =
      Set.of(
          "authorization",
          "host",
          "expect",
          "accept-encoding",
          "x-tenant",
          "x-request-id",
          "x-deadline-millis");

  private ForwardHeaders() {}

  /** The headers of a request for a back end. */
  static HttpFields forBackEnd(
      HttpFields fromCaller, TenantName tenant, RequestId requestId, long deadlineMillis) {
    HttpFields.Mutable headers = HttpFields.build();
    for (HttpField field : fromCaller) {
      String name = field.getName().toLowerCase(Locale.ROOT);
      boolean kept = !CONNECTION_HEADERS.contains(name) && !CALLER_ONLY_HEADERS.contains(name);
      if (kept && !isNamedByConnection(fromCaller, name)) {
        headers.add(field);
      }
    }
    headers.put("X-Tenant", tenant.value());
    headers.put("X-Request-Id", requestId.value());
    headers.put("X-Deadline-Millis", Long.toString(deadlineMillis));
    return headers.asImmutable();
  }

  /** Puts a back end's headers into the answer to the caller. */
  static void toCaller(HttpFields fromBackEnd, Response response) {
    for (HttpField field : fromBackEnd) {
      String name = field.getName().toLowerCase(Locale.ROOT);
      if (!CONNECTION_HEADERS.contains(name) && !isNamedByConnection(fromBackEnd, name)) {
        response.getHeaders().add(field);
      }
    }
  }

  private static boolean isNamedByConnection(HttpFields fields, String name) {
    return fields.contains("Connection", name);
  }
}
