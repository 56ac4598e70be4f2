package org.fallturn.node.gateway;

import org.fallturn.core.port.table.StoreException;

/**
 * A node has the requested rows but does not send them, since the answer is larger than the
 * requester accepts. The limit keeps a node's link free of large answers sent many times.
 */
final class TableTooLargeException extends StoreException {

  private static final long serialVersionUID = 1;

  TableTooLargeException(String message) {
    super(message, false, null);
  }
}
