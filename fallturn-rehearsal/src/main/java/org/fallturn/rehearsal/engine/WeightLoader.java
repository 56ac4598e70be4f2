package org.fallturn.rehearsal.engine;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.http.JsonHttpClient;
import org.fallturn.rehearsal.platform.WeightPull;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Pulls weights part by part from the platform's rate-limited weight store; goes on trying while
 * the store is down. Calls back on the engine's thread.
 */
final class WeightLoader {

  private static final Logger LOG = LoggerFactory.getLogger(WeightLoader.class);
  private static final String PATH = "/v1/weights/pull";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long PAUSE_MILLIS = 50;

  private final JsonHttpClient client;
  private final NetworkAddress platform;
  private final ScheduledExecutorService engineThread;

  WeightLoader(
      JsonHttpClient client, NetworkAddress platform, ScheduledExecutorService engineThread) {
    this.client = client;
    this.platform = platform;
    this.engineThread = engineThread;
  }

  /** Loads; stops when no longer wanted. */
  void load(String name, String version, BooleanSupplier wanted, Runnable done) {
    pull(new WeightPull(name, version, 0), wanted, done);
  }

  private void pull(WeightPull next, BooleanSupplier wanted, Runnable done) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    client
        .post(platform, PATH, next, WeightPull.Answer.class, TIMEOUT)
        .whenComplete(
            (answer, failure) -> {
              if (failure != null) {
                LOG.debug("engine: A weight pull failed: {}.", failure.getMessage());
                later(next, wanted, done);
              } else {
                engineThread.execute(() -> received(next, answer, wanted, done));
              }
            });
  }

  private void received(
      WeightPull pull, WeightPull.Answer answer, BooleanSupplier wanted, Runnable done) {
    long offset = pull.offset() + answer.granted();
    if (offset >= answer.total()) {
      if (wanted.getAsBoolean()) {
        done.run();
      }
      return;
    }
    later(new WeightPull(pull.name(), pull.version(), offset), wanted, done);
  }

  private void later(WeightPull next, BooleanSupplier wanted, Runnable done) {
    engineThread.schedule(() -> pull(next, wanted, done), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
  }
}
