package org.fallturn.rehearsal.emulator;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Routes and configurations as an operator of the platform writes them. */
public final class RouteText {

  /** How long the head of a request may take. */
  public static final Duration HEADER_TIMEOUT = Duration.ofMillis(600);

  /** How long a connection may be idle. */
  public static final Duration IDLE_TIMEOUT = Duration.ofSeconds(15);

  private static final Duration TARGET = Duration.ofMillis(250);

  private static final int MODEL_ATTEMPTS = 2;

  /** A service of application back ends, after its name. */
  private static final String APPLICATION =
      "\"healthPath\":\"/health\"," + maxConnections(100) + "}";

  /** A service of model engines, after its name. */
  private static final String MODEL =
      "\"healthPath\":\"/health\","
          + maxConnections(300)
          + ",\"engine\":{\"slots\":8,\"kvCapacityTokens\":400000,\"kvTokenBytes\":163840,"
          + "\"linkMbps\":1900000.0,\"handleTtlS\":5.0,\"stageSwitchS\":0.8}}";

  private RouteText() {}

  /** One route to one service. */
  public static String route(
      String prefix, String type, boolean resumable, String service, int timeoutMillis) {
    return String.format(
        Locale.ROOT,
        "{\"name\":\"r-%s\",\"host\":\"%s\",\"pathPrefix\":\"/%s/\",\"type\":\"%s\","
            + "\"timeoutMs\":%d,%s,\"priority\":1,\"service\":\"%s\","
            + "\"maxAttempts\":%d,\"sticky\":true,\"resumable\":%b,\"gapTargetMs\":150}",
        prefix,
        EmulatedPlatform.HOST,
        prefix,
        type,
        timeoutMillis,
        target(TARGET),
        service,
        MODEL_ATTEMPTS,
        resumable);
  }

  /** The same route for callers without a key too. */
  public static String openToAll(String route) {
    return route.replace("\"sticky\":true", "\"allowAnonymous\":true,\"sticky\":true");
  }

  /**
   * A tenant of a configuration.
   *
   * @param priority its rank; empty where the ranks of the routes hold
   */
  public static String tenant(String name, OptionalInt priority, String... keys) {
    String rank = priority.isPresent() ? ",\"priority\":" + priority.getAsInt() : "";
    String quoted =
        Stream.of(keys).map(key -> '"' + key + '"').collect(Collectors.joining(",", "[", "]"));
    return "{\"name\":\"" + name + "\",\"apiKeys\":" + quoted + rank + "}";
  }

  /** A whole configuration in which requests need a key of one of these tenants. */
  public static String configuration(long version, List<String> routes, List<String> tenants) {
    return withTenants(configuration(version, routes), tenants);
  }

  /** The same configuration, in which requests need a key of one of these tenants. */
  public static String withTenants(String configuration, List<String> tenants) {
    String withoutEnd = configuration.substring(0, configuration.length() - 1);
    return withoutEnd + ",\"tenants\":[" + String.join(",", tenants) + "]}";
  }

  /** The same configuration with one more service of application back ends. */
  public static String withService(String configuration, String name) {
    return configuration.replace(
        "{\"name\":\"app\",", "{\"name\":\"" + name + "\"," + APPLICATION + ",{\"name\":\"app\",");
  }

  /** The same configuration with one more service of model engines. */
  public static String withModelService(String configuration, String name) {
    return configuration.replace(
        "{\"name\":\"app\",", "{\"name\":\"" + name + "\"," + MODEL + ",{\"name\":\"app\",");
  }

  /** A route for each kind of request. */
  public static List<String> defaults() {
    int timeout = 4_000;
    String model = EmulatedPlatform.MODEL_SERVICE;
    String application = EmulatedPlatform.APPLICATION_SERVICE;
    return List.of(
        route("resumable", "streaming", true, model, timeout),
        route("stream", "streaming", false, model, timeout),
        route("idempotent", "idempotent", false, application, timeout),
        route("once", "non_idempotent", false, application, timeout));
  }

  /** The same configuration with another limit on how long a connection may be idle. */
  public static String withIdleTimeout(String configuration, Duration timeout) {
    return configuration.replace(idleTimeout(IDLE_TIMEOUT), idleTimeout(timeout));
  }

  /** The same configuration with another target latency of all routes. */
  public static String withTarget(String configuration, Duration target) {
    return configuration.replace(target(TARGET), target(target));
  }

  /** The same configuration with another bound on connections to one engine. */
  public static String withMaxConnections(String configuration, int connections) {
    return configuration.replaceAll("\"maxConnections\":[0-9]+", maxConnections(connections));
  }

  private static String maxConnections(int connections) {
    return "\"maxConnections\":" + connections;
  }

  private static String target(Duration latency) {
    return "\"targetLatencyMs\":" + latency.toMillis();
  }

  private static String idleTimeout(Duration timeout) {
    return "\"idleTimeoutMs\":" + timeout.toMillis();
  }

  /** A whole configuration. */
  public static String configuration(long version, List<String> routes) {
    return String.format(
        Locale.ROOT,
        "{\"version\":%d,\"routes\":[%s],\"services\":["
            + "{\"name\":\"llm\","
            + MODEL
            + ","
            + "{\"name\":\"app\","
            + APPLICATION
            + "],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":100000,"
            + "\"headerTimeoutMs\":%d,%s}}",
        version,
        String.join(",", routes),
        HEADER_TIMEOUT.toMillis(),
        idleTimeout(IDLE_TIMEOUT));
  }
}
