package org.fallturn.node.gateway;

import org.fallturn.core.port.table.StoreException;

/**
 * A node has the requested rows but does not send them: the answer is larger than the requester
 * accepts, as many requests for it would overload the node's link.
 */
final class TableTooLargeException extends StoreException {

  private static final long serialVersionUID = 1;

  TableTooLargeException(String message) {
    super(message, false, null);
  }
}
