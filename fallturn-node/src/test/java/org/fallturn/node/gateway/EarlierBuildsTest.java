package org.fallturn.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fallturn.core.dispatch.EngineDigest;
import org.fallturn.core.dispatch.LoadDigest;
import org.fallturn.core.limits.AnnouncedLimitDigest;
import org.fallturn.core.limits.BudgetDigest;
import org.fallturn.core.limits.LimitDigest;
import org.fallturn.core.limits.RateDigest;
import org.fallturn.core.pace.RecentPace;
import org.fallturn.core.peers.MessageKind;
import org.fallturn.core.peers.PeerMessage;
import org.fallturn.core.port.feed.FeedAnswer;
import org.fallturn.core.port.feed.FeedRow;
import org.fallturn.node.json.JsonCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Nodes of two builds run side by side while machines are replaced one after the other, in either
 * direction. The files under {@code builds/} were written by the builds that they are named after
 * and never change. What nodes tell each other may therefore only grow, by these rules:
 *
 * <ul>
 *   <li>A new fact gets a key of its own. The meaning and the form of a key never change, nor does
 *       the number of places in a text of several, whose last place may be a list.
 *   <li>A key that is absent says nothing: a count is zero, a list is empty, a time was never. It
 *       never ends a duty.
 *   <li>A key that is not known is passed over, and so is not passed on: what must reach every node
 *       is learned by each for itself, or is in a row of the store.
 *   <li>A kind of message that is not known is dropped with its message: kinds are added only for
 *       what nobody else needs.
 *   <li>A table or a row that is read is as new as its position says, whoever tells it.
 * </ul>
 */
class EarlierBuildsTest {

  private static final String BUILD = "/builds/3a1ab74/";

  private final PeerCodec codec = new PeerCodec();
  private final ObjectMapper json = new ObjectMapper();

  private static byte[] recorded(String name) throws IOException {
    try (InputStream file = EarlierBuildsTest.class.getResourceAsStream(BUILD + name)) {
      return file.readAllBytes();
    }
  }

  /** What was said, is read; what is read and said again, the earlier build reads as before. */
  @ParameterizedTest
  @EnumSource(MessageKind.class)
  void messagesOfAnEarlierBuildAreReadAndSaidInItsWords(MessageKind kind) throws Exception {
    byte[] bytes = recorded("message-" + kind + ".json");
    PeerMessage message = codec.decode(bytes);
    assertThat(message.kind()).isEqualTo(kind);
    assertThat(message.load().engines().get("i-7f@1778333128186"))
        .isEqualTo(new EngineDigest(2, 1, List.of(0L, 500L), 1, 3, 120));
    assertThat(message.listings()).hasSize(1);
    assertThat(message.crashes()).hasSize(1);
    assertThat(message.relays()).hasSize(2);
    assertThat(message.tables()).containsEntry("routing", 57L);
    assertThat(message.usage().isPresent()).isEqualTo(kind == MessageKind.USAGE);
    assertThat(json.readTree(codec.encode(message))).isEqualTo(json.readTree(bytes));
  }

  /** Beside what the earlier build knows, only whole keys are new. */
  @Test
  void whatIsNewInAMessageStandsInKeysOfItsOwn() throws Exception {
    byte[] bytes = recorded("message-VIEW.json");
    PeerMessage message = codec.decode(bytes);
    Map<String, EngineDigest> engines = new HashMap<>(message.load().engines());
    LimitDigest limit =
        new LimitDigest(new RateDigest(3, 33, 1, 9), new AnnouncedLimitDigest(2.2, 40, 700));
    RecentPace pace = RecentPace.of(130, 24);
    engines.replaceAll((id, digest) -> digest.withLeaving(2).withLimit(limit).withPace(pace));
    LoadDigest load = message.load();
    PeerMessage later =
        new PeerMessage(
            message.kind(),
            message.sender(),
            new LoadDigest(
                load.node(),
                load.incarnation(),
                load.sequence(),
                load.nodes(),
                load.firstNode(),
                engines,
                load.prompts(),
                load.speeds(),
                Map.of("llm", new BudgetDigest(3, 350, 9, 4, 140))),
            message.listings(),
            message.crashes(),
            message.relays(),
            message.tables(),
            message.wantsListings());
    assertThat(codec.decode(codec.encode(later))).isEqualTo(later);
    JsonNode said = json.readTree(codec.encode(later));
    ((ObjectNode) said).remove(List.of("d", "b", "g", "o"));
    assertThat(said).isEqualTo(json.readTree(bytes));
  }

  @Test
  void tableOfAnEarlierBuildIsTakenWhole() throws Exception {
    TableUpdate news = new JsonCodec().decode(recorded("table.json"), TableUpdate.class);
    FeedAnswer known = new FeedAnswer(List.of(new FeedRow("e-0", 3, "", false)), 3);
    FeedAnswer taken = news.appliedTo(known).orElseThrow();
    assertThat(taken.version()).isEqualTo(12);
    assertThat(taken.rows()).extracting(FeedRow::key).containsExactly("e-1", "e-2");
  }

  /** The earlier build reads rows and a version, and passes over the rest. */
  @Test
  void tableThatIsToldAnEarlierBuildIsOfTheSameForm() throws Exception {
    FeedAnswer table = new JsonCodec().decode(recorded("table.json"), FeedAnswer.class);
    JsonNode told = json.readTree(new JsonCodec().encode(TableUpdate.whole(table)));
    ((ObjectNode) told).remove("keys");
    assertThat(told).isEqualTo(json.readTree(recorded("table.json")));
  }
}
