package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.peers.KnownVersions;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.PeerInfo;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.core.port.feed.StorePosition;
import org.fallturn.core.routing.ServingEngine;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamReport;
import org.fallturn.node.json.MalformedMessageException;
import org.fallturn.platform.EngineRowDecoder;
import org.fallturn.platform.OperatorConfigurationDecoder;
import org.fallturn.rehearsal.emulator.EmulatedClient;
import org.fallturn.rehearsal.emulator.EmulatedEngine;
import org.fallturn.rehearsal.emulator.EmulatedPlatform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a row of another writer, with values of any type and size, that stops nodes from
 * following the engines, from serving, or from hearing each other.
 */
class OddEngineRowsTest {

  private static final Duration LONGEST = Duration.ofSeconds(20);
  private static final int ROUNDS = 4;
  private static final int ROWS_PER_ROUND = 25;
  private static final int SHORT_PROMPT = 300;
  private static final int MAX_DATAGRAM_BYTES = 65_507;
  private static final int LATER_VERSION = 1_000;

  /** Close to the most that a row of the store holds. */
  private static final int LARGE = 40_000;

  private static final Pattern HEARD =
      Pattern.compile("^fallturn_gateway_peer_messages_heard (\\d+)", Pattern.MULTILINE);

  private static final List<String> FIELDS =
      List.of(
          "service",
          "address",
          "zone",
          "version",
          "slots",
          "state",
          "stage",
          "leaves_ms",
          "born",
          "spot",
          "sequence");

  /** Times in ms that are numbers, but that no engine means. */
  private static final List<String> ODD_TIMES =
      List.of(
          "1e13",
          "1e15",
          "9223372036854775807",
          "-9223372036854775808",
          "99999999999999999999",
          "1e400",
          "-1e400",
          "1e-400",
          "1e999999999");

  private static final List<String> ODD_VALUES = oddValues();

  private final EngineRowDecoder decoder = new EngineRowDecoder();
  private EmulatedPlatform platform;
  private EmulatedClient client;
  private List<GatewayServer> gateways;

  private static List<String> oddValues() {
    List<String> values = new ArrayList<>(ODD_TIMES);
    values.addAll(
        List.of(
            "2147483647",
            "2147483648",
            "-1",
            "0",
            "1.5",
            "null",
            "true",
            "[]",
            "{}",
            "\"\"",
            "\"\\u0000\"",
            "\"\\ud800\"",
            "\"\\ud800\\ud800\"",
            "\"127.0.0.1:70000\"",
            "\"127.0.0.1:99999999999\"",
            "\"[::1\"",
            "\"v1,v2:\\n v3\""));
    values.add('"' + "x".repeat(LARGE) + '"');
    values.add("[".repeat(LARGE / 2) + "]".repeat(LARGE / 2));
    values.add("{\"a\":".repeat(900) + "1" + "}".repeat(900));
    values.add("7".repeat(LARGE));
    values.add("1e" + "9".repeat(900));
    return values;
  }

  @BeforeEach
  void start() throws Exception {
    platform = new EmulatedPlatform();
    client = new EmulatedClient();
    addEngine(0);
    GatewayServer first = platform.addGateway();
    gateways = List.of(first, platform.addGateway(first.peersAddress()));
    gateways.forEach(gateway -> await().atMost(LONGEST).until(() -> gateway.nodeCount() == 2));
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    platform.close();
  }

  private EmulatedEngine addEngine(int number) throws Exception {
    return platform.addEngine("d-" + number, EmulatedPlatform.MODEL_SERVICE, "decode");
  }

  private static <T> T anyOf(List<T> all, Random random) {
    return all.get(random.nextInt(all.size()));
  }

  /** Appended: of two fields with one name, the last counts. */
  private static String with(String row, String field, String value) {
    return row.substring(0, row.length() - 1) + ",\"" + field + "\":" + value + "}";
  }

  private static String oddRow(EmulatedEngine engine, boolean draining, Random random) {
    String row = engine.row(draining);
    return random.nextInt(10) == 0
        ? anyOf(ODD_VALUES, random)
        : with(row, anyOf(FIELDS, random), anyOf(ODD_VALUES, random));
  }

  private static FeedRow row(String id, String value) {
    return new FeedRow(id, new StorePosition(1, 1), value, false);
  }

  private boolean isReadable(String id, String row) {
    try {
      decoder.decode(row(id, row));
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  private int readableRows() {
    return (int)
        platform.store().values(EngineRowDecoder.TABLE).entrySet().stream()
            .filter(row -> isReadable(row.getKey(), row.getValue()))
            .count();
  }

  private static long heard(GatewayServer gateway) {
    Matcher heard = HEARD.matcher(gateway.metrics().text());
    assertThat(heard.find()).isTrue();
    return Long.parseLong(heard.group(1));
  }

  private void awaitServedBy(EmulatedEngine engine, GatewayServer gateway) {
    NetworkAddress address = gateway.callersAddress();
    int before = engine.runs().size();
    await()
        .atMost(LONGEST)
        .until(
            () ->
                client.call(address, EmulatedPlatform.RESUMABLE, SHORT_PROMPT).status() == 200
                    && engine.runs().size() > before);
  }

  private void expectSound(EmulatedEngine onlyEngine) {
    for (GatewayServer gateway : gateways) {
      await().atMost(LONGEST).until(() -> gateway.engineCount() == readableRows());
      awaitServedBy(onlyEngine, gateway);
      long heardBefore = heard(gateway);
      await().atMost(LONGEST).until(() -> heard(gateway) > heardBefore);
      assertThat(gateway.metrics().text()).doesNotContain(LogEvent.DUTY_FAILED.name());
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void followsTheSoundRowsBesideOddOnes(long seed) throws Exception {
    Random random = new Random(seed);
    for (int round = 1; round <= ROUNDS; round++) {
      List<EmulatedEngine> former = platform.engines();
      EmulatedEngine next = addEngine(round);
      for (EmulatedEngine leaving : former) {
        String row = with(leaving.row(true), "leaves_ms", anyOf(ODD_TIMES, random));
        platform.listStrange(leaving.id(), row);
      }
      for (int number = 0; number < ROWS_PER_ROUND; number++) {
        platform.listStrange("odd-" + number, oddRow(next, random.nextBoolean(), random));
        platform.listStrange(next.id(), oddRow(next, false, random));
      }
      platform.list(next, false);
      expectSound(next);
    }
  }

  /** Each text of an accepted row has to survive the messages between nodes. */
  @Test
  void namesOfAcceptedRowsCanBeReported() throws Exception {
    PeerCodec codec = new PeerCodec();
    String sound = platform.engines().get(0).row(false);
    for (String value : ODD_VALUES) {
      for (String field : List.of("service", "version")) {
        String odd = with(sound, field, value);
        if (isReadable("odd", odd)) {
          StreamReport report = reportOn(decoder.decode(row("odd", odd)));
          byte[] datagram = codec.encode(emptyMessage().withStreams(report));
          assertThat(datagram.length).isLessThan(MAX_DATAGRAM_BYTES);
          assertThat(codec.decode(datagram).streams()).isEqualTo(report);
        }
      }
    }
  }

  private static StreamReport reportOn(ServingEngine engine) {
    StreamOrigin origin = new StreamOrigin(1, engine.service(), engine.softwareVersion());
    Map<String, Integer> versions = Map.of(engine.softwareVersion(), 0);
    return new StreamReport(Map.of(engine.service(), versions), List.of(origin));
  }

  private static PeerMessage emptyMessage() {
    LoadDigest load = new LoadDigest("n", 1, 1, 1, "n", Map.of(), List.of(), Map.of(), Map.of());
    PeerInfo sender = new PeerInfo(new NetworkAddress("10.0.0.1", 7660), "zone-1", 1);
    return new PeerMessage(
        MessageKind.VIEW,
        sender,
        load,
        List.of(),
        List.of(),
        List.of(),
        KnownVersions.none(),
        false);
  }

  /** Times that overflow when a request comes left each request without an answer. */
  @ParameterizedTest
  @ValueSource(strings = {"9223372036854775807", "1e18", "4611686018427387904"})
  void servesWithAConfigurationOfLongTimes(String millis) {
    String text =
        platform
            .store()
            .values(OperatorConfigurationDecoder.TABLE)
            .get(OperatorConfigurationDecoder.KEY);
    String odd =
        text.replaceFirst("\"version\":\\d+", "\"version\":" + LATER_VERSION)
            .replaceAll("(timeoutMs|LatencyMs|gapTargetMs)\":\\d+", "$1\":" + millis);
    platform.store().put(OperatorConfigurationDecoder.TABLE, OperatorConfigurationDecoder.KEY, odd);
    for (GatewayServer gateway : gateways) {
      await().atMost(LONGEST).until(() -> gateway.routingVersion() == LATER_VERSION);
      awaitServedBy(platform.engines().get(0), gateway);
      assertThat(gateway.metrics().text()).doesNotContain(LogEvent.DUTY_FAILED.name());
    }
  }
}
