package org.fallturn.rehearsal.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.fallturn.rehearsal.emulator.RouteText;

/**
 * Services whose engines are all replaced by ones of a further version while one gateway is out of
 * step. They have no other faults and follow each other by turns, so that gateways can know before
 * that all streams of a service began at one version. One thread begins and ends this.
 */
final class SoakUpgrades {

  /** So many that a service rests for longer than its streams may be continued. */
  private static final int SERVICES = 4;

  private static final int ENGINES = 2;
  private static final int TIMEOUT_MILLIS = 4_000;

  /** From when the gateway is out of step until engines of the new version join. */
  private static final Duration UNTIL_JOINED = Duration.ofMillis(100);

  /** Callers come back for so long after the gateway is in step again. */
  private static final Duration COME_BACK = Duration.ofMillis(300);

  /** The engines that are replaced end so long after the gateway is in step again. */
  private static final Duration UNTIL_ENDED = Duration.ofSeconds(1);

  private final EmulatedPlatform platform;
  private final Map<Integer, List<EmulatedEngine>> replaced = new HashMap<>();
  private volatile Optional<Upgrade> current = Optional.empty();
  private int begun;

  /**
   * An upgrade of a service beside a gateway that is out of step.
   *
   * @param path of streams of the service
   * @param target the gateway that is meant
   */
  record Upgrade(String path, int target) {}

  SoakUpgrades(EmulatedPlatform platform) throws Exception {
    this.platform = platform;
    for (int service = 0; service < SERVICES; service++) {
      for (int engine = 0; engine < ENGINES; engine++) {
        platform.addEngine("u" + service + "-" + engine, name(service), "decode");
      }
    }
  }

  private static String name(int service) {
    return "upgraded-" + service;
  }

  /** Routes to the services. */
  static List<String> routes() {
    List<String> routes = new ArrayList<>();
    for (int service = 0; service < SERVICES; service++) {
      String name = name(service);
      routes.add(RouteText.route(name, "streaming", true, name, TIMEOUT_MILLIS));
    }
    return routes;
  }

  /** The same configuration with the services. */
  static String withServices(String configuration) {
    String text = configuration;
    for (int service = 0; service < SERVICES; service++) {
      text = RouteText.withModelService(text, name(service));
    }
    return text;
  }

  /** Upgrades the next service a moment later; callers come back to the gateway meanwhile. */
  void begin(int target) {
    int service = begun % SERVICES;
    String version = "u" + (2 + begun / SERVICES);
    begun++;
    current = Optional.of(new Upgrade("/" + name(service) + "/x", target));
    after(UNTIL_JOINED, () -> replace(target, service, version));
  }

  private synchronized void replace(int target, int service, String version) {
    try {
      replaced.put(target, platform.release(name(service), 0, ENGINES, version));
    } catch (Exception e) {
      throw new IllegalStateException("no engines of version " + version + " start", e);
    }
  }

  /** The gateway is in step again. */
  void end(int target) {
    Optional<Upgrade> ended = current;
    after(COME_BACK, () -> endReturns(ended));
    after(UNTIL_ENDED, () -> endReplaced(target));
  }

  private void endReturns(Optional<Upgrade> ended) {
    if (current.equals(ended)) {
      current = Optional.empty();
    }
  }

  private synchronized void endReplaced(int target) {
    replaced.remove(target).forEach(platform::end);
  }

  private static void after(Duration delay, Runnable action) {
    CompletableFuture.delayedExecutor(delay.toMillis(), TimeUnit.MILLISECONDS).execute(action);
  }

  /** The upgrade that goes on now. */
  Optional<Upgrade> current() {
    return current;
  }
}
