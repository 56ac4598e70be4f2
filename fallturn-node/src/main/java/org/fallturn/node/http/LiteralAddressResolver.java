package org.fallturn.node.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.SocketAddressResolver;

/**
 * Resolves IPv4 addresses on the calling thread, since nothing has to be looked up: the usual
 * resolver spends a job for another thread and a timer on each new connection. Names go to the
 * usual resolver, which may block. Thread-safe.
 */
public final class LiteralAddressResolver implements SocketAddressResolver {

  private static final int BYTES = 4;
  private static final int MAX_BYTE = 255;
  private static final int MAX_DIGITS = 3;

  private final SocketAddressResolver names;

  /** Resolves names by another resolver. */
  public LiteralAddressResolver(SocketAddressResolver names) {
    this.names = names;
  }

  @Override
  public void resolve(
      String host,
      int port,
      Map<String, Object> context,
      Promise<List<InetSocketAddress>> promise) {
    Optional<InetAddress> literal = literal(host);
    if (literal.isPresent()) {
      promise.succeeded(List.of(new InetSocketAddress(literal.get(), port)));
    } else {
      names.resolve(host, port, context, promise);
    }
  }

  private static Optional<InetAddress> literal(String host) {
    String[] parts = host.split("\\.", -1);
    byte[] bytes = new byte[BYTES];
    for (int index = 0; index < BYTES; index++) {
      int number = parts.length == BYTES ? number(parts[index]) : -1;
      if (number < 0) {
        return Optional.empty();
      }
      bytes[index] = (byte) number;
    }
    try {
      return Optional.of(InetAddress.getByAddress(host, bytes));
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are always an address", e);
    }
  }

  /** The number of up to three digits, if it fits a byte; else -1. */
  private static int number(String digits) {
    boolean plain =
        !digits.isEmpty()
            && digits.length() <= MAX_DIGITS
            && digits.chars().allMatch(digit -> digit >= '0' && digit <= '9');
    int number = plain ? Integer.parseInt(digits) : -1;
    return number <= MAX_BYTE ? number : -1;
  }
}
