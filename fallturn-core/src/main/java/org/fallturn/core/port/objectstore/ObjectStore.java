package org.fallturn.core.port.objectstore;

import java.util.Optional;
import org.fallturn.core.port.table.StoreException;

/**
 * The platform's object store, {@code PUT} and {@code GET /v1/objects/{name}}. Calls block their
 * thread for a bounded time.
 */
public interface ObjectStore {

  /** Writes an object whole, in place of an older one. */
  void put(String name, byte[] content) throws StoreException;

  /** Reads an object; empty when there is none. */
  Optional<byte[]> get(String name) throws StoreException;
}
