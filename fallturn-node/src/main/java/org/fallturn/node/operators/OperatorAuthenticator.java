package org.fallturn.node.operators;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.fallturn.core.configuration.ConfigurationImage;
import org.fallturn.core.configuration.OperatorRecord;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * Tells who sends a statement, by the key in {@code Authorization: Bearer}. The bootstrap key of
 * the settings counts only while no operator is configured. Thread-safe.
 */
final class OperatorAuthenticator {

  private static final String BEARER = "Bearer ";
  private static final String BOOTSTRAP_NAME = "bootstrap";

  private final Supplier<ConfigurationImage> configuration;
  private final String bootstrapKeyHash;

  OperatorAuthenticator(Supplier<ConfigurationImage> configuration, String bootstrapKeyHash) {
    this.configuration = configuration;
    this.bootstrapKeyHash = bootstrapKeyHash;
  }

  OperatorRecord authenticate(Request request) throws FallturnException {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    if (header == null || !header.startsWith(BEARER)) {
      throw new FallturnException(
          ErrorKind.UNAUTHENTICATED, "an operator key is needed in header Authorization: Bearer");
    }
    String hash = KeyHashes.hash(header.substring(BEARER.length()).strip());
    ConfigurationImage image = configuration.get();
    for (OperatorRecord operator : image.operators().values()) {
      if (isSame(operator.keyHash(), hash)) {
        return operator;
      }
    }
    if (image.operators().isEmpty() && isSame(bootstrapKeyHash, hash)) {
      return new OperatorRecord(BOOTSTRAP_NAME, hash, OperatorRecord.Role.OPERATOR);
    }
    throw new FallturnException(ErrorKind.UNAUTHENTICATED, "the operator key is not known");
  }

  static void requireMayChange(OperatorRecord operator) throws FallturnException {
    if (operator.role() != OperatorRecord.Role.OPERATOR) {
      throw new FallturnException(
          ErrorKind.FORBIDDEN,
          operator.operator() + " has role VIEWER; changes need role OPERATOR");
    }
  }

  private static boolean isSame(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
  }
}
