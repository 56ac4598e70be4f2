package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.Blocker;
import org.eclipse.jetty.util.Callback;

/** Waits for one write. */
final class Blocking implements Callback, AutoCloseable {

  private final Blocker.Callback blocker = Blocker.callback();

  /** Writes bytes to a connection and waits until they are written. */
  static void write(EndPoint endPoint, byte[] bytes) throws IOException {
    try (Blocking written = new Blocking()) {
      endPoint.write(written, ByteBuffer.wrap(bytes));
      written.block();
    }
  }

  void block() throws IOException {
    blocker.block();
  }

  @Override
  public void succeeded() {
    blocker.succeeded();
  }

  @Override
  public void failed(Throwable failure) {
    blocker.failed(failure);
  }

  @Override
  public void close() {
    blocker.close();
  }
}
