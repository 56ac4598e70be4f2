package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.assertj.core.data.Percentage;
import org.fallturn.core.dispatch.CacheListing;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LearnedSpeed;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.dispatch.PlacedPrompt;
import org.fallturn.core.dispatch.PromptPart;
import org.fallturn.core.domain.NetworkAddress;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.pace.RecentPace;
import org.fallturn.core.peers.KnownPeer;
import org.fallturn.core.peers.KnownVersions;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.PeerInfo;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.quarantine.CrashReport;
import org.fallturn.core.quarantine.RequestFingerprint;
import org.fallturn.core.quarantine.SeenCrash;
import org.fallturn.core.streams.StreamOrigin;
import org.fallturn.core.streams.StreamReport;
import org.fallturn.node.json.MalformedMessageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that messages between nodes survive encoding and decoding, stay small for a large fleet,
 * and that malformed ones are rejected with a {@link MalformedMessageException}.
 */
class PeerCodecTest {

  private static final RequestFingerprint PART =
      new RequestFingerprint(RequestFingerprint.Kind.PROMPT_PART, 7, "9c50");

  private static final SeenCrash ALONE = new SeenCrash("i-81", 30, true, true);

  private final PeerCodec codec = new PeerCodec();

  private static PeerInfo peer(int number) {
    return new PeerInfo(new NetworkAddress("10.0.0." + number, 7660), "zone-1", 800 + number);
  }

  private static List<CrashReport> crashes() {
    List<SeenCrash> seen =
        List.of(new SeenCrash("i-7f", 1_200, true), new SeenCrash("i-80", 0, false));
    return List.of(
        new CrashReport(new RequestFingerprint(-7, "9c4e"), 40, true, 12, CrashReport.NEVER, seen),
        new CrashReport(
            new RequestFingerprint(7, "9c4f"), CrashReport.NEVER, false, 0, 3, List.of()),
        new CrashReport(PART, CrashReport.NEVER, false, 0, 3, List.of(ALONE)));
  }

  private static PeerMessage message(Map<String, EngineDigest> engines) {
    return message(engines, List.of(new PromptPart("5c1e", 800), new PromptPart("91bd", 410)));
  }

  private static PeerMessage message(Map<String, EngineDigest> engines, List<PromptPart> parts) {
    LoadDigest load =
        new LoadDigest(
            "edge-1",
            17,
            5,
            95,
            "edge-0",
            engines,
            List.of(new PlacedPrompt("i-7f", 12, parts), new PlacedPrompt("i-80", 0, List.of())),
            Map.of("llm", new LearnedSpeed(0.02)),
            Map.of("llm", new BudgetDigest(3, 350, 9, 4, 140)));
    return new PeerMessage(
        MessageKind.VIEW,
        peer(1),
        load,
        List.of(new CacheListing("i-7f", 40, 500, parts)),
        crashes(),
        List.of(new KnownPeer(peer(2), 90), new KnownPeer(peer(3), 0)),
        new KnownVersions(2, Map.of("routing", 57L, "engines", 9_000_000_000L)),
        true);
  }

  /** Names of services and versions may contain what separates fields elsewhere. */
  @Test
  void reportOnStreamsIsDecodedAsItWasEncoded() throws Exception {
    StreamReport report =
        new StreamReport(
            Map.of("llm", Map.of("v1", 0, "v 1.1,\"rc\":2", 3_200), "chat", Map.of("", 7)),
            List.of(new StreamOrigin(-1, "llm", "v1"), new StreamOrigin(5, "llm", "v1")));
    PeerMessage message = message(Map.of()).withStreams(report);
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }

  /**
   * Callers and engines choose the ids of prompt parts. Guards against an id that makes the whole
   * message unreadable, so that other nodes no longer hear this one.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "a b", "a\tb", "a\u0000", "\ud800", "\udc00\ud800", "2", "a:b"})
  void messageStaysReadableWhateverTheIdOfAPart(String id) throws Exception {
    PromptPart sound = new PromptPart("5c1e", 800);
    List<PromptPart> parts = List.of(sound, new PromptPart(id, 410));
    PeerMessage decoded = codec.decode(codec.encode(message(Map.of(), parts)));
    assertThat(decoded.load().prompts().get(0).parts()).startsWith(sound).isSubsetOf(parts);
    assertThat(decoded.listings().get(0).parts()).startsWith(sound).isSubsetOf(parts);
    assertThat(decoded.relays()).hasSize(2);
  }

  /** A part whose id is too long for a datagram is left out. */
  @Test
  void messageStaysSmallWhateverTheIdOfAPart() {
    List<PromptPart> parts = List.of(new PromptPart("x".repeat(70_000), 410));
    assertThat(codec.encode(message(Map.of(), parts)).length).isLessThan(2_000);
  }

  @Test
  void speedsAreEncodedInSinglePrecision() throws Exception {
    double learned = 0.020_481_312_345_678_9;
    LoadDigest load =
        new LoadDigest(
            "e", 1, 1, 1, "e", Map.of(), List.of(), Map.of("llm", new LearnedSpeed(learned)));
    byte[] written =
        new PeerCodec()
            .encode(
                new PeerMessage(
                    MessageKind.GROUP,
                    peer(1),
                    load,
                    List.of(),
                    List.of(),
                    List.of(),
                    KnownVersions.none(),
                    false));
    assertThat(new String(written, StandardCharsets.UTF_8))
        .containsPattern("\"llm\":[0-9.]{4,12}[},]");
    double read = new PeerCodec().decode(written).load().speeds().get("llm").tokenMillis();
    assertThat(read).isCloseTo(learned, Percentage.withPercentage(1e-4));
  }

  @Test
  void decodedMessageEqualsTheEncodedOne() throws Exception {
    Map<String, EngineDigest> engines =
        Map.of(
            "i-7f", new EngineDigest(2, 1, List.of(0L, 500L), 1, 3, 120),
            "i-80", new EngineDigest(0, 0, List.of(), 0, 0, EngineDigest.NOT_HEARD),
            "i-81", new EngineDigest(3, 0, List.of(200L, 500L), 0, 0, 7).withLongestPrompt(500));
    PeerMessage message = message(engines);
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }

  @Test
  void longestPromptOfAllEnginesBoundsThatOfEach() throws Exception {
    EngineDigest many = new EngineDigest(3, 0, List.of(200L, 5_000L), 0, 0, 7);
    EngineDigest one = new EngineDigest(1, 0, List.of(0L, 900L), 0, 0, 7);
    Map<String, EngineDigest> engines = Map.of("i-7f", many.withLongestPrompt(300), "i-80", one);
    Map<String, EngineDigest> read = codec.decode(codec.encode(message(engines))).load().engines();
    assertThat(read.get("i-7f").longestPrompt()).isEqualTo(900);
    assertThat(read.get("i-80").longestPrompt()).isEqualTo(900);
  }

  @Test
  void messageAboutAllEnginesOfALargeFleetStaysWithinAFewKilobytes() {
    Map<String, EngineDigest> engines = new HashMap<>();
    for (int engine = 0; engine < 60; engine++) {
      List<Long> waiting = List.of(0L, 0L, 0L, 12_000L + engine, 90_000L);
      engines.put("i-7f3a91c2" + engine, new EngineDigest(16, 9, waiting, 0, 0, 120));
    }
    assertThat(codec.encode(message(engines))).hasSizeLessThan(4_096);
  }

  /** Only paces that differ from the usual are encoded, so that most messages don't grow at all. */
  @ParameterizedTest
  @CsvSource({"71,63", "112,40"})
  void pacesOfEnginesAddLittleToAMessage(int nodes, int engineCount) throws Exception {
    Map<String, EngineDigest> engines = new HashMap<>();
    Map<String, EngineDigest> uneven = new HashMap<>();
    for (int engine = 0; engine < engineCount; engine++) {
      EngineDigest digest = new EngineDigest(16, 9, List.of(0L, 12_000L + engine), 0, 0, 120);
      String id = "i-7f3a91c2" + engine;
      engines.put(id, digest.withPace(RecentPace.of(104, nodes)));
      uneven.put(id, engine % 3 == 0 ? digest.withPace(RecentPace.of(130, nodes)) : digest);
    }
    int plain = codec.encode(message(engines)).length;
    int longer = codec.encode(message(uneven)).length - plain;
    assertThat(longer).isPositive().isLessThan(plain / 4);
    assertThat(codec.decode(codec.encode(message(uneven)))).isEqualTo(message(uneven));
  }

  @Test
  void unknownKeysAreIgnored() throws Exception {
    String text = new String(codec.encode(message(Map.of())), StandardCharsets.UTF_8);
    String longer = text.replaceFirst("\\{", "{\"x\":{\"y\":[1]},\"z9\":7,");
    assertThat(codec.decode(longer.getBytes(StandardCharsets.UTF_8))).isEqualTo(message(Map.of()));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{}",
        "{\"k\":\"VIEW\"",
        "{\"k\":\"NOTHING\",\"a\":\"h:1\",\"z\":\"z\",\"c\":1,\"n\":\"n\",\"i\":1,\"s\":1,\"m\":1,"
            + "\"f\":\"n\"}",
        "{\"p\":[\"i-7f 12 no-tokens\"]}",
        "{\"p\":[\"i-7f\"]}",
        "{\"q\":[\"no-fingerprint 0 0 0 true\"]}",
        "{\"q\":[\"00000007-9c4f 0\"]}",
        "{\"q\":[\"00000007-9c4f 0 0 0 true i-7f:12\"]}",
        "{\"e\":{\"i-7f\":\"1,2\"}}",
        "{\"J\":[[\"llm\"]]}",
        "{\"J\":[[\"llm\",\"v1\",\"no-key\"]]}",
        "{\"j\":{\"llm\":{\"v1\":\"old\"}}}",
        "{\"o\":{\"llm\":\"1,2\"}}"
      })
  void malformedMessageIsRejected(String text) {
    assertThatThrownBy(() -> codec.decode(text.getBytes(StandardCharsets.UTF_8)))
        .isInstanceOf(MalformedMessageException.class);
  }

  /** An earlier build rejects a whole message with a fingerprint that it cannot parse. */
  @Test
  void earlierBuildsFindNoPartsAmongTheContents() throws Exception {
    JsonNode encoded = new ObjectMapper().readTree(codec.encode(message(Map.of())));
    assertThat(encoded.get("q").toString()).doesNotContain(PART.toString());
    assertThat(encoded.get("Q").toString()).contains(PART + " ").contains("i-81:30:true:alone");
  }
}
