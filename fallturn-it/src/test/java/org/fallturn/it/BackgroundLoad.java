package org.fallturn.it;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fallturn.rehearsal.fleet.CallResult;

/** Repeats a call on a few threads until it is closed, and keeps every result. */
final class BackgroundLoad implements AutoCloseable {

  private static final long JOIN_SECONDS = 90;

  private final List<Thread> threads = new ArrayList<>();
  private final List<CallResult> results = new CopyOnWriteArrayList<>();
  private final AtomicInteger calls = new AtomicInteger();
  private volatile boolean stopped;

  /** One call; the number tells calls apart. */
  interface NumberedCall {
    CallResult call(int number) throws Exception;
  }

  BackgroundLoad(int threadCount, NumberedCall call) {
    for (int index = 0; index < threadCount; index++) {
      Thread thread = new Thread(() -> run(call), "load-" + index);
      threads.add(thread);
      thread.start();
    }
  }

  private void run(NumberedCall call) {
    while (!stopped) {
      try {
        results.add(call.call(calls.incrementAndGet()));
      } catch (Exception e) {
        results.add(
            new CallResult(CallResult.Verdict.WRONG, 0, "call failed: " + e, 0, 0, List.of()));
        return;
      }
    }
  }

  /** Results so far. */
  List<CallResult> results() {
    return results;
  }

  /** Complete calls so far. */
  long complete() {
    return results.stream()
        .filter(result -> result.verdict() == CallResult.Verdict.COMPLETE)
        .count();
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join(TimeUnit.SECONDS.toMillis(JOIN_SECONDS));
    }
  }
}
