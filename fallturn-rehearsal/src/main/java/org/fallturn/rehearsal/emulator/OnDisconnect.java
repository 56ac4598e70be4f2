package org.fallturn.rehearsal.emulator;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/** What an engine does with its work on a request when the request's connection ends. */
public enum OnDisconnect {
  /** It cancels the work, however the connection ends. */
  CANCEL,
  /** It takes an orderly end for a caller that still reads, and cancels the work at a reset. */
  CANCEL_AT_RESET,
  /** It works on to the end. */
  WORK_ON;

  private static final int POLL_MILLIS = 5;

  /** Works for some time; false if the work was cancelled. */
  boolean work(Socket connection, InputStream in, long millis)
      throws IOException, InterruptedException {
    if (this == WORK_ON) {
      TimeUnit.MILLISECONDS.sleep(millis);
      return true;
    }
    connection.setSoTimeout(POLL_MILLIS);
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() - until < 0) {
      in.mark(1);
      try {
        if (in.read() < 0 && this == CANCEL) {
          return false;
        }
        in.reset();
        TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      } catch (SocketTimeoutException e) {
        // Nothing has come, as is usual.
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }
}
