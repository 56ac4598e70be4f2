package org.fallturn.node.gateway;

import org.fallturn.core.port.table.StoreException;

/** A node knows what is asked for, but it is too much to be sent over its link many times. */
final class TableTooLargeException extends StoreException {

  private static final long serialVersionUID = 1;

  TableTooLargeException(String message) {
    super(message, false, null);
  }
}
