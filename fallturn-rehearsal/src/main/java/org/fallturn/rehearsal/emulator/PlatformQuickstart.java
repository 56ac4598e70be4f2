package org.fallturn.rehearsal.emulator;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.node.gateway.GatewayServer;

/**
 * Plays a small load through real gateways on the emulated platform: requests of every kind, an
 * engine that drains and a configuration that changes on the way. One thread uses it.
 */
public final class PlatformQuickstart {

  private static final int GATEWAYS = 2;
  private static final int SHORT_PROMPT = 300;
  private static final int LONG_PROMPT = 17_000;
  private static final int HTTP_OK = 200;
  private static final int IN_FLIGHT = 16;

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
      List<EmulatedEngine> engines = addEngines(platform);
      List<NetworkAddress> doors = addGateways(platform);
      int good = 0;
      Set<String> once = new HashSet<>();
      for (int begun = 0; begun < requests; begun += IN_FLIGHT) {
        if (begun > requests / 2 && begun <= requests / 2 + IN_FLIGHT) {
          platform.list(engines.get(engines.size() - 1), true);
          platform.configure(RouteText.defaults());
        }
        good += batch(client, doors, begun, Math.min(IN_FLIGHT, requests - begun), once);
      }
      return report(engines, requests, good, once);
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

  private static int batch(
      EmulatedClient client, List<NetworkAddress> doors, int first, int count, Set<String> once)
      throws Exception {
    List<EmulatedClient.Call> calls = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      NetworkAddress door = doors.get((first + index) % doors.size());
      calls.add(send(client, door, first + index, once));
    }
    int good = 0;
    for (EmulatedClient.Call call : calls) {
      EmulatedClient.Answer answer = call.await();
      boolean stream = answer.body().startsWith("id: 1\n");
      boolean application = answer.body().startsWith("answer of ");
      if (answer.whole() && answer.status() == HTTP_OK && (stream || application)) {
        good++;
      }
    }
    return good;
  }

  private static EmulatedClient.Call send(
      EmulatedClient client, NetworkAddress door, int number, Set<String> once) {
    return switch (number % 4) {
      case 0 -> client.send(door, EmulatedPlatform.STREAM, LONG_PROMPT, EmulatedClient.LONGEST);
      case 1 -> client.send(door, EmulatedPlatform.RESUMABLE, SHORT_PROMPT, EmulatedClient.LONGEST);
      case 2 -> client.send(door, EmulatedPlatform.IDEMPOTENT, 0, EmulatedClient.LONGEST);
      default -> {
        EmulatedClient.Call call =
            client.send(door, EmulatedPlatform.NON_IDEMPOTENT, 0, EmulatedClient.LONGEST);
        once.add(call.requestId());
        yield call;
      }
    };
  }

  private boolean report(List<EmulatedEngine> engines, int requests, int good, Set<String> once) {
    int doubled = 0;
    Set<String> seen = new HashSet<>();
    for (EmulatedEngine engine : engines) {
      out.printf("%-4s ran %d requests%n", engine.id(), engine.runs().size());
      for (String run : engine.runs()) {
        doubled += once.contains(run) && !seen.add(run) ? 1 : 0;
      }
    }
    out.printf("whole and right %d of %d, doubled %d%n", good, requests, doubled);
    boolean all = good == requests && doubled == 0;
    out.println(all ? "GOOD: every answer was whole and right" : "NOT GOOD");
    return all;
  }
}
