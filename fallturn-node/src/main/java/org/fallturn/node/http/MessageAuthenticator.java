package org.fallturn.node.http;

import org.fallturn.core.error.FallturnException;

/** Signs and verifies messages among nodes. Thread-safe. */
public interface MessageAuthenticator {

  /** Header that carries the proof. */
  String HEADER = "Fallturn-Peer-Proof";

  /** Paths below this one are signed and verified. */
  String PEER_PATHS = "/peer/";

  /** Value of the header for a message. */
  String sign(String path, byte[] body);

  /**
   * Checks a received message.
   *
   * @param header value of the header, or null when it is absent
   * @throws FallturnException UNAUTHENTICATED when the message must not be handled
   */
  void verify(String path, String header, byte[] body) throws FallturnException;
}
