package org.fallturn.node.gossip;

import java.io.IOException;
import java.util.function.BiConsumer;
import org.fallturn.core.domain.NetworkAddress;

/**
 * A datagram port. Any thread may send; received datagrams are handed over on a thread of the
 * transport's own.
 */
public interface GossipTransport extends AutoCloseable {

  /** Where it receives, with the real port. */
  NetworkAddress address();

  /** Starts to receive. */
  void start();

  /** Sends a datagram, which may get lost. */
  void send(byte[] datagram, NetworkAddress to);

  @Override
  void close() throws IOException;

  /** Opens transports. */
  @FunctionalInterface
  interface Opener {

    /**
     * Opens a transport that does not receive yet.
     *
     * @param name for its thread
     * @param listen where to receive; port 0 takes any free one
     * @param receive called with each datagram and its source
     */
    GossipTransport open(
        String name, NetworkAddress listen, BiConsumer<byte[], NetworkAddress> receive)
        throws IOException;
  }
}
