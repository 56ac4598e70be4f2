package org.fallturn.node.callers;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/** Finds whose request it is and whether a rule allows it. Stateless. */
final class CallerIdentity {

  private static final String BEARER = "Bearer ";

  private CallerIdentity() {}

  /** The tenant that owns the request's API key. */
  static TenantRecord authenticate(ConfigurationImage image, HttpFields fields)
      throws FallturnException {
    String header = fields.get(HttpHeader.AUTHORIZATION);
    if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
      throw new FallturnException(
          ErrorKind.UNAUTHENTICATED, "header Authorization must be Bearer and an API key");
    }
    String key = header.substring(BEARER.length()).trim();
    return image
        .tenantOfKey(sha256(key.getBytes(StandardCharsets.UTF_8)))
        .orElseThrow(
            () -> new FallturnException(ErrorKind.UNAUTHENTICATED, "the API key is not known"));
  }

  /** The rule that lets the tenant use the service; without one the service is not shown. */
  static RuleRecord authorize(ConfigurationImage image, TenantRecord tenant, ServiceName service)
      throws FallturnException {
    return image
        .rule(tenant.tenant(), service)
        .orElseThrow(
            () ->
                new FallturnException(
                    ErrorKind.FORBIDDEN, "no rule lets this tenant use service " + service));
  }

  /** The service of that name. */
  static ServiceRecord service(ConfigurationImage image, ServiceName service)
      throws FallturnException {
    return image
        .service(service)
        .orElseThrow(
            () -> new FallturnException(ErrorKind.NOT_FOUND, "no such service: " + service));
  }

  /** Hash of what a request asks for: method, path, query and body. */
  static String bodyHash(Request request, byte[] body) {
    String target = request.getMethod() + " " + request.getHttpURI().getPathQuery() + "\n";
    byte[] head = target.getBytes(StandardCharsets.UTF_8);
    byte[] all = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return sha256(all);
  }

  /** Hexadecimal SHA-256. */
  static String sha256(byte[] content) {
    try {
      byte[] hash = MessageDigest.getInstance("SHA-256").digest(content);
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
