package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.util.Callback;

/**
 * Queue that writes the parts of one answer in order: a part waits while the previous one is still
 * being written. It is needed when a second engine continues the answer of a first one, since its
 * parts may arrive faster than the caller reads. Thread-safe; each callback is completed when its
 * part was written, or failed when it could not be.
 */
final class OrderedWriter {

  private final Sink sink;
  private final Deque<Part> waiting = new ArrayDeque<>();
  private boolean writing;

  private record Part(boolean last, ByteBuffer bytes, Callback callback) {}

  /** Writes one part at a time, and completes or fails its callback. */
  interface Sink {

    /** Starts to write a part; called only when the callback of the previous one has ended. */
    void write(boolean last, ByteBuffer bytes, Callback callback);
  }

  OrderedWriter(Sink sink) {
    this.sink = sink;
  }

  /**
   * Writes a part after all earlier parts.
   *
   * @param last whether the answer ends with this part
   * @param bytes the part
   * @param callback completed when the part was written, failed when it could not be
   */
  void write(boolean last, ByteBuffer bytes, Callback callback) {
    Part part = new Part(last, bytes, callback);
    synchronized (waiting) {
      if (writing) {
        waiting.add(part);
        return;
      }
      writing = true;
    }
    begin(part);
  }

  private void begin(Part part) {
    sink.write(
        part.last(),
        part.bytes(),
        Callback.from(
            () -> {
              next();
              part.callback().succeeded();
            },
            failure -> {
              next();
              part.callback().failed(failure);
            }));
  }

  private void next() {
    Part part;
    synchronized (waiting) {
      part = waiting.poll();
      writing = part != null;
    }
    if (part != null) {
      begin(part);
    }
  }
}
