package org.fallturn.rehearsal.engine;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fallturn.core.port.engine.KvSource;
import org.fallturn.node.http.JsonHttpClient;

/**
 * Imports KV caches from other engines over one link of limited bandwidth: transfers follow one
 * another. Used on the engine's thread, calls back on it.
 */
final class KvImporter {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final EngineSettings settings;
  private final EngineCostModel costs;
  private final JsonHttpClient client;
  private final ScheduledExecutorService engineThread;
  private long linkFreeAtNanos = System.nanoTime();

  KvImporter(
      EngineSettings settings, JsonHttpClient client, ScheduledExecutorService engineThread) {
    this.settings = settings;
    this.costs = new EngineCostModel(settings.costs());
    this.client = client;
    this.engineThread = engineThread;
  }

  /** Imports; exactly one of the two actions follows. */
  void importFrom(KvSource source, long promptHash, Runnable imported, Runnable lost) {
    client
        .get(source.engine(), "/v1/kv/" + source.kvHandle(), KvExport.class, TIMEOUT)
        .whenComplete(
            (export, failure) ->
                engineThread.execute(
                    () -> {
                      if (failure != null || export.promptHash() != promptHash) {
                        lost.run();
                      } else {
                        transfer(export, imported);
                      }
                    }));
  }

  private void transfer(KvExport export, Runnable imported) {
    long now = System.nanoTime();
    long duration = settings.realNanos(costs.kvTransferNanos(export.kvBytes()));
    linkFreeAtNanos = Math.max(now, linkFreeAtNanos) + duration;
    engineThread.schedule(imported, linkFreeAtNanos - now, TimeUnit.NANOSECONDS);
  }
}
