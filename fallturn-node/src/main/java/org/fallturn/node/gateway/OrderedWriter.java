package org.fallturn.node.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.util.Callback;

/**
 * Writes the parts of one answer one after another: a part that comes while the caller still takes
 * the one before waits for it. Two engines may give parts of one answer in turn, and the second may
 * be quicker than the caller. Thread-safe; each callback is completed once its part was written or
 * could not be.
 */
final class OrderedWriter {

  private final Sink sink;
  private final Deque<Part> waiting = new ArrayDeque<>();
  private boolean writing;

  private record Part(boolean last, ByteBuffer bytes, Callback callback) {}

  /** Takes one part at a time; completes its callback once it was written or could not be. */
  interface Sink {

    /** Begins to write. */
    void write(boolean last, ByteBuffer bytes, Callback callback);
  }

  OrderedWriter(Sink sink) {
    this.sink = sink;
  }

  /** Writes a part after all parts given before. */
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
