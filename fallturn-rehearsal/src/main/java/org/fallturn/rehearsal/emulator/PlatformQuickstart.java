package org.fallturn.rehearsal.emulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.GatewayServer;

/**
 * Plays a small load of one tenant through real gateways on the emulated platform: requests of
 * every kind, an engine that drains and a configuration that changes on the way. One thread uses
 * it.
 */
public final class PlatformQuickstart {

  private static final int GATEWAYS = 2;
  private static final int SHORT_PROMPT = 300;
  private static final int LONG_PROMPT = 17_000;
  private static final List<String> PATHS =
      List.of(
          EmulatedPlatform.STREAM,
          EmulatedPlatform.RESUMABLE,
          EmulatedPlatform.IDEMPOTENT,
          EmulatedPlatform.NON_IDEMPOTENT);
  private static final List<Integer> TOKENS = List.of(LONG_PROMPT, SHORT_PROMPT, 0, 0);
  private static final int IN_FLIGHT = 16;
  private static final String KEY = "key-of-the-bakery";
  private static final String TENANT = RouteText.tenant("bakery", OptionalInt.of(0), KEY);

  private final PrintStream out;

  /** Prints its report to the given stream. */
  public PlatformQuickstart(PrintStream out) {
    this.out = out;
  }

  /**
   * Plays.
   *
   * @param requests how many requests
   * @return whether every answer was whole and right and nothing that may not be repeated ran twice
   */
  public boolean play(int requests) throws Exception {
    try (EmulatedPlatform platform = new EmulatedPlatform();
        EmulatedClient client = new EmulatedClient()) {
      platform.configureTenants(TENANT);
      client.setHeaders(HttpFields.build().add(HttpHeader.AUTHORIZATION, "Bearer " + KEY));
      List<EmulatedEngine> engines = addEngines(platform);
      List<NetworkAddress> doors = addGateways(platform);
      QuickstartReport report = new QuickstartReport();
      for (int begun = 0; begun < requests; begun += IN_FLIGHT) {
        if (begun > requests / 2 && begun <= requests / 2 + IN_FLIGHT) {
          platform.list(engines.get(engines.size() - 1), true);
          platform.configureTenants(TENANT);
        }
        batch(client, doors, begun, Math.min(IN_FLIGHT, requests - begun), report);
      }
      return report.print(out, engines);
    }
  }

  private static List<EmulatedEngine> addEngines(EmulatedPlatform platform) throws Exception {
    List<EmulatedEngine> engines = new ArrayList<>();
    engines.add(platform.addEngine("p-1", EmulatedPlatform.MODEL_SERVICE, "prefill"));
    engines.add(platform.addEngine("d-1", EmulatedPlatform.MODEL_SERVICE, "decode"));
    engines.add(platform.addEngine("d-2", EmulatedPlatform.MODEL_SERVICE, "decode"));
    engines.add(platform.addEngine("a-1", EmulatedPlatform.APPLICATION_SERVICE, ""));
    engines.add(platform.addEngine("a-2", EmulatedPlatform.APPLICATION_SERVICE, ""));
    return engines;
  }

  private static List<NetworkAddress> addGateways(EmulatedPlatform platform) throws Exception {
    List<NetworkAddress> doors = new ArrayList<>();
    List<NetworkAddress> seeds = new ArrayList<>();
    for (int index = 0; index < GATEWAYS; index++) {
      GatewayServer gateway = platform.addGateway(seeds.toArray(new NetworkAddress[0]));
      doors.add(gateway.callersAddress());
      seeds.add(gateway.peersAddress());
    }
    return doors;
  }

  private static void batch(
      EmulatedClient client,
      List<NetworkAddress> doors,
      int first,
      int count,
      QuickstartReport report) {
    List<QuickstartReport.Played> calls = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      NetworkAddress door = doors.get((first + index) % doors.size());
      calls.add(send(client, door, first + index));
    }
    calls.forEach(report::add);
  }

  private static QuickstartReport.Played send(
      EmulatedClient client, NetworkAddress door, int number) {
    String path = PATHS.get(number % PATHS.size());
    int tokens = TOKENS.get(number % TOKENS.size());
    long begun = System.nanoTime();
    EmulatedClient.Call call = client.send(door, path, tokens, EmulatedClient.LONGEST);
    return new QuickstartReport.Played(
        path, door, call, call.answer().thenApply(answer -> System.nanoTime() - begun));
  }
}
